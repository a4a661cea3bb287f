"""The HTTP interface of an entry for clients, load balancers, operators.

docs/PROTOCOL-HTTP.md describes the routes, documents and statuses.
"""

from baobabgap.api._application import create_application
from baobabgap.api._service import EntryService

__all__ = ['create_application', 'EntryService']
