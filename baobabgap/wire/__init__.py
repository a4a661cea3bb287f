"""What every link needs: the codec of messages and the first messages.

Each part of the system registers its own messages with the codec, so that a
process loads only those that it may send or receive.
"""

from baobabgap.wire._codec import decode
from baobabgap.wire._codec import encode
from baobabgap.wire._codec import MAXIMUM_FRAME_BYTES
from baobabgap.wire._codec import PROTOCOL_VERSION
from baobabgap.wire._codec import register
from baobabgap.wire._common import Heartbeat
from baobabgap.wire._common import Hello
from baobabgap.wire._common import LeaderHint

register(Heartbeat, Hello, LeaderHint)

__all__ = [
    'decode',
    'encode',
    'Heartbeat',
    'Hello',
    'LeaderHint',
    'MAXIMUM_FRAME_BYTES',
    'PROTOCOL_VERSION',
    'register',
]
