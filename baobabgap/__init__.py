"""A dispatcher for very short tasks that must start at most once.

Each role of the system has its own package: `baobabgap.entry`,
`baobabgap.agent` and `baobabgap.control`. They exchange the typed messages
of `baobabgap.messages` over `baobabgap.transport`.
"""

from baobabgap._exceptions import BaobabgapError
from baobabgap._exceptions import ConnectionLost
from baobabgap._exceptions import InvalidInput
from baobabgap._exceptions import ProtocolMismatch
from baobabgap._exceptions import SettingsError

__all__ = [
    'BaobabgapError',
    'ConnectionLost',
    'InvalidInput',
    'ProtocolMismatch',
    'SettingsError',
]
