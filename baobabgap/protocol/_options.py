"""Options of a control node, beyond its settings."""

from dataclasses import dataclass

from baobabgap.protocol._timing import LeaseTiming


@dataclass(frozen=True, slots=True)
class ControlNodeOptions:
    """Options of a control node beyond its settings."""

    lease_timing: LeaseTiming
    # Milliseconds for which the state of an ended job can be read.
    retention_ms: int
    # Factor by which a task takes longer outside the rack of its data.
    off_rack_factor: float
    # Number of group members needed to tolerate the stated losses.
    wanted_members: int
    # Largest number of group members; further hosts stand by.
    most_members: int
    # Seconds of silence after which a member may be replaced.
    member_silence_limit_s: float
