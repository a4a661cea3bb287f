"""The errors of the package, each with the step and the peer.

An operator who reads one of these in a log or in an answer learns where
in a job's life the error arose and which process was at the other end.
"""


class BaobabgapError(Exception):
    """The base of all errors that the package raises on purpose.

    `step` names the stage that failed, such as `'claim'` or `'place'`.
    `peer` names the process at the other end; it is empty for a purely
    local error.
    """

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        at_peer = f' (peer {self.peer})' if self.peer else ''
        return f'{self.step}: {self.message}{at_peer}'


class InvalidInput(BaobabgapError):
    """Input from a caller or an operator that breaks the stated rules."""


class SettingsError(BaobabgapError):
    """Settings that stop the start of a process."""


class ProtocolMismatch(BaobabgapError):
    """A peer sent bytes that are no message of the agreed protocol."""


class ConnectionLost(BaobabgapError):
    """A connection that was closed, or whose peer has gone silent."""
