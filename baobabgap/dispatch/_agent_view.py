"""One agent and its upstream, as the leader sees them."""

from dataclasses import dataclass
from dataclasses import field

from baobabgap.accepted import Demand
from baobabgap.accepted import TaskId
from baobabgap.dispatch._messages import UpstreamState
from baobabgap.dispatch._timing import boot_time
from baobabgap.scheduling import PlacementTarget
from baobabgap.transport import Connection


@dataclass(slots=True)
class Run:
    """A run that an upstream has, or may have."""

    task: TaskId
    number: int
    demand: Demand
    # When it was ordered or found, and how long it should take, seconds.
    started_at: float
    expected_s: float
    # Whether it was found rather than ordered: it began at some earlier
    # time, so that nothing is learned from how long it takes.
    was_found: bool = False
    # Whether a stop was ordered.
    is_stopping: bool = False


@dataclass(slots=True)
class AgentView:
    """An agent, its link, its upstream and the runs there.

    The runs stay when the link is lost: they go on until the upstream's
    lease has certainly lapsed.
    """

    name: str
    connection: Connection | None = None
    # Whether the full report of the present link has come.
    has_reported: bool = False
    # Whether the agent is durably known, so that it may get runs.
    is_enrolled: bool = False
    is_enrolling: bool = False
    upstream: UpstreamState | None = None
    target: PlacementTarget | None = None
    run_by_task: dict[TaskId, Run] = field(default_factory=dict)
    # The highest number of an end taken, in the upstream's present life.
    last_end_number: int = 0
    # When the last authority was granted or may have been, in seconds on
    # a clock that goes on while the host is suspended.
    authority_granted_at: float = float('-inf')

    def may_start(self, authority_s: float) -> bool:
        """Tell whether runs may be ordered.

        The agent must have been granted authority within `authority_s`.
        """
        return (
            self.connection is not None
            and self.has_reported
            and self.is_enrolled
            and self.upstream is not None
            and boot_time() - self.authority_granted_at < authority_s
        )

    def is_life(self, instance: str, born_ms: int) -> bool:
        """Tell whether a message is about the upstream's present life."""
        upstream = self.upstream
        return (
            upstream is not None
            and upstream.instance == instance
            and upstream.born_ms == born_ms
        )
