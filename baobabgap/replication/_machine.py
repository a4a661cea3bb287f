"""The interface of the state machine that the log drives."""

from typing import Any
from typing import Protocol


class StateMachine(Protocol):
    """A deterministic state machine that applies committed commands.

    Every host applies the same commands in the same order to its own
    instance, so that all instances go through the same states. One task
    calls all methods. The state may depend on the commands only: not on a
    clock, random numbers or the environment.
    """

    def apply(self, index: int, command: bytes) -> Any:
        """Apply one committed command and return its result.

        Indexes increase but have gaps, because the log also holds
        entries that are not commands.
        """

    def snapshot(self) -> bytes:
        """Return the complete state after the last applied command."""

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace the state with one that `snapshot` returned.

        `index` is the index of the last entry that the snapshot covers.
        """
