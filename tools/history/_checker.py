"""Checks a history against all rules."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Final

from tools.history._events import History
from tools.history._events import Violation
from tools.history._job_rules import check_ends_agree
from tools.history._job_rules import check_own_answers
from tools.history._job_rules import check_refusals_hold
from tools.history._job_rules import check_refused_never_started
from tools.history._job_rules import check_single_starts
from tools.history._job_rules import check_whole_answers
from tools.history._ticket_rules import check_accepted_stay
from tools.history._ticket_rules import check_first_answers
from tools.history._ticket_rules import check_one_content
from tools.history._ticket_rules import check_one_order
from tools.history._ticket_rules import check_reads_advance

_RULES: Final[tuple[Callable[[History], Iterable[Violation]], ...]] = (
    check_single_starts,
    check_whole_answers,
    check_own_answers,
    check_ends_agree,
    check_refusals_hold,
    check_refused_never_started,
    check_reads_advance,
    check_one_order,
    check_one_content,
    check_accepted_stay,
    check_first_answers,
)


def check(history: History) -> list[Violation]:
    """Return all violations; an empty list if all rules hold."""
    return [violation for rule in _RULES for violation in rule(history)]
