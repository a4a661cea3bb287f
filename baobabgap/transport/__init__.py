"""Links between processes: WebSocket connections of typed messages."""

from baobabgap.transport._connection import Connection
from baobabgap.transport._connection import LinkTiming
from baobabgap.transport._dialer import dial
from baobabgap.transport._dialer import Dialer
from baobabgap.transport._listener import Listener
from baobabgap.transport._newest_links import NewestLinks
from baobabgap.transport._traffic import PROCESS_TRAFFIC

__all__ = [
    'Connection',
    'dial',
    'Dialer',
    'LinkTiming',
    'Listener',
    'NewestLinks',
    'PROCESS_TRAFFIC',
]
