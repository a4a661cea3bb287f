"""Review of a configuration before it is sent.

Reports errors, entries that can never match, limits that contradict each
other, and what differs from the configuration in force. Nothing is sent.
"""

from baobabgap.review._findings import Difference
from baobabgap.review._findings import differences_of
from baobabgap.review._findings import Finding
from baobabgap.review._findings import Review
from baobabgap.review._findings import Severity
from baobabgap.review._queues import review_queues
from baobabgap.review._text import render_review
from baobabgap.review._tickets import review_ticket
from baobabgap.review._tickets import TicketContext

__all__ = [
    'Difference',
    'differences_of',
    'Finding',
    'render_review',
    'Review',
    'review_queues',
    'review_ticket',
    'Severity',
    'TicketContext',
]
