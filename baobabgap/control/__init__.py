"""The control group: claims, change tickets and membership.

`ControlHostProcess` is one host of the group; every other process talks
to it through `ControlClient`.
"""

from baobabgap.control._client import ControlClient
from baobabgap.control._client_errors import ControlUnavailableError
from baobabgap.control._host import ControlHostProcess
from baobabgap.control._state import ControlState

__all__ = [
    'ControlClient',
    'ControlHostProcess',
    'ControlState',
    'ControlUnavailableError',
]
