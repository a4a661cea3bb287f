"""Messages between a follower of the control group and the leader.

The follower dials the leader with the role `relay` and forwards the
requests of its own members.
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
    # Whether this is a query, which is not appended to the log.
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
    """Changed configuration versions of the members of the sender."""

    # The version in force at each member, by its name.
    version_by_member: dict[str, int]
