"""The HTTP face of an entry: callers, the balancer and operators.

docs/PROTOCOL-HTTP.md has the routes, documents and statuses.
"""

from baobabgap.api._application import create_application
from baobabgap.api._service import EntryService

__all__ = ['create_application', 'EntryService']
