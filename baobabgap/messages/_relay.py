"""Messages between a following control host and the leader.

The follower dials the leader with the role `relay` and passes on what
its own members ask for.
"""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class RelayCommand:
    """Asks the leader to commit a command, or to answer a query."""

    # Chosen by the sender to match the answer.
    request: int
    # The command or query, as `baobabgap.control` encodes it.
    command: bytes
    # True for a query, which leaves no trace in the log.
    is_query: bool = False


@dataclass(frozen=True, slots=True)
class RelayResult:
    """The answer to `RelayCommand`."""

    # The number of the request that is answered.
    request: int
    # What the command returned when it was applied.
    result: Any


@dataclass(frozen=True, slots=True)
class RelayReports:
    """Versions in force at members of the sender, where they changed."""

    # Version by the member's name.
    version_by_member: dict[str, int]
