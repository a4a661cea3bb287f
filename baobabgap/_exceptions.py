"""Exceptions of the package; each one records the step and the peer.

Logs and answers show an operator at which stage of a job the error
occurred and which process was the peer.
"""


class BaobabgapError(Exception):
    """The base class of the package's own exceptions.

    `step` names the stage that failed, such as `'claim'` or `'place'`.
    `peer` names the process at the other end; it is empty for a local
    error.
    """

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        peer_suffix = f' (peer {self.peer})' if self.peer else ''
        return f'{self.step}: {self.message}{peer_suffix}'


class InvalidInput(BaobabgapError):
    """Input from a caller or an operator that is not valid."""


class SettingsError(BaobabgapError):
    """Settings with which a process refuses to start."""


class ProtocolMismatch(BaobabgapError):
    """A peer sent data that does not conform to the protocol."""


class ConnectionLost(BaobabgapError):
    """A connection that can't be opened, was closed, or has a silent peer."""
