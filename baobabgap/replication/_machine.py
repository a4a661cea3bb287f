"""What the replicated log drives on every host."""

from typing import Any
from typing import Protocol


class StateMachine(Protocol):
    """A deterministic machine that consumes the committed commands.

    Every host feeds its own machine with the same commands in the same
    order, so that all machines pass through the same states. All methods
    are called by one task. Nothing but the commands may influence the
    state: no clock, no random numbers, no environment.
    """

    def apply(self, index: int, command: bytes) -> Any:
        """Apply one committed command and return its result.

        Indexes grow but are not dense, because the log keeps entries of
        its own between the commands.
        """

    def snapshot(self) -> bytes:
        """Return the whole state as of the last applied command."""

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace the state by one that `snapshot` returned.

        `index` is the index of the last entry that the snapshot covers.
        """
