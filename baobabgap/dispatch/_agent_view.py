"""The leader's view of an agent and its upstream."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import boottime_clock
from baobabgap.protocol import FullReport
from baobabgap.protocol import RunRow
from baobabgap.protocol import UpstreamState
from baobabgap.scheduling import ExpectedRun
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import PlacementTarget
from baobabgap.transport import Connection


@dataclass(slots=True)
class Run:
    """A run that an upstream has, or may have."""

    task: TaskId
    number: int
    # None if only an earlier process of the agent knew it.
    demand: Demand | None
    # When it was ordered or found, and its expected duration, seconds.
    started_at: float
    expected_s: float
    # The submission that it was ordered or adopted for, if there is one.
    plan: JobPlan | None = None
    # Whether it was found rather than ordered. Its start time is unknown
    # then, so that its duration is not recorded.
    was_found: bool = False
    # Whether the upstream was cold when it started, so that its duration is
    # not recorded either.
    was_cold: bool = False
    # Whether a stop was ordered.
    is_stopping: bool = False
    # When the upstream's capacity should be free again, if that is known.
    expected: ExpectedRun | None = None
    # Number of the message on the current link that ordered it; 0 if it was
    # found or ordered on an earlier link.
    start_number: int = 0
    # The agent's process that it was ordered from, or that listed it last.
    agent_incarnation: str = ''


@dataclass(slots=True)
class AgentView:
    """An agent, its link, its upstream and the runs there.

    The runs are kept when the link is lost, as they continue until the
    upstream's lease has certainly lapsed.
    """

    name: str
    connection: Connection | None = None
    # The agent's process on the latest link, and the one that reported last.
    linked_incarnation: str = ''
    reporting_incarnation: str = ''
    # When the link was lost, monotonic clock; 0 while there is one.
    unlinked_at: float = 0.0
    # Whether the full report has arrived on the current link.
    has_reported: bool = False
    # Since when requests for authority have come from an incarnation without
    # a full report, monotonic clock.
    unreported_since: float | None = None
    # Number of messages `StartRuns` sent on the current link.
    starts_sent: int = 0
    # Whether the agent is known to answer requests for a full report, and
    # when the last one was sent, monotonic clock.
    answers_report_requests: bool = False
    report_requested_at: float = float('-inf')
    # Whether the enrolment is durable, which is required for runs.
    is_enrolled: bool = False
    is_enrolling: bool = False
    upstream: UpstreamState | None = None
    # When the upstream's state was last told, monotonic clock.
    upstream_told_at: float = 0.0
    target: PlacementTarget | None = None
    run_by_task: dict[TaskId, Run] = field(default_factory=dict)
    # The highest end number processed for the upstream's current instance.
    last_end_number: int = 0
    # When authority was last granted, or may have been, in seconds on a
    # clock that includes time in suspend.
    authority_granted_at: float = float('-inf')

    def may_start(self, authority_s: float) -> bool:
        """Return whether starts may be ordered.

        The agent must have been granted authority within `authority_s`.
        """
        return (
            self.connection is not None
            and self.has_reported
            and self.is_enrolled
            and self.upstream is not None
            and boottime_clock() - self.authority_granted_at < authority_s
        )

    def begin_link(self, connection: Connection) -> None:
        """Use a new link; orders of earlier ones arrive no more."""
        self.connection = connection
        self.linked_incarnation = connection.peer.incarnation
        self.has_reported = False
        self.unreported_since = None
        self.starts_sent = 0
        self.answers_report_requests = False
        for run in self.run_by_task.values():
            run.start_number = 0

    def note_starts_sent(self, tasks: Iterable[TaskId]) -> None:
        """Record that a message orders the starts of runs."""
        self.starts_sent += 1
        for task in tasks:
            run = self.run_by_task[task]
            run.start_number = self.starts_sent
            run.agent_incarnation = self.linked_incarnation

    def note_listed(self, rows: Iterable[RunRow]) -> None:
        """Record that the agent's process on this link knows of runs."""
        for row in rows:
            run = self.run_by_task.get(row.task)
            if run is not None and run.number == row.run:
                run.agent_incarnation = self.linked_incarnation

    def unreported_runs(self, report: FullReport) -> list[TaskId]:
        """Return the runs that a full report shows not to exist.

        The start order of another run that it doesn't list may be on its
        way. A run of the same task with another number is another run.
        """
        reported = {(row.task, row.run) for row in report.running}
        received = report.starts_received
        return [
            task
            for task, run in self.run_by_task.items()
            if (task, run.number) not in reported
            and (received is None or run.start_number <= received)
        ]

    def unknown_to_process(self, report: FullReport) -> list[RunRow]:
        """Return the runs of which the agent's process can't know.

        They were ordered from an earlier process, whose calls may still be
        carried out, also by the next incarnation of the upstream. A run that
        is listed in the place of a tracked one is adopted instead.
        """
        upstream, reported = self.upstream, report.upstream
        if upstream is None or reported is None:
            return []
        if upstream.instance != reported.instance:
            return []
        listed = {row.task for row in report.running}
        ended = {(row.task, row.run) for row in report.ended}
        return [
            RunRow(run.task, run.number, False, run.demand or Demand())
            for run in self.run_by_task.values()
            if run.agent_incarnation != self.linked_incarnation
            and run.task not in listed
            and (run.task, run.number) not in ended
        ]

    def is_current_instance(self, instance: str, born_ms: int) -> bool:
        """Return whether a message concerns the current instance."""
        upstream = self.upstream
        return (
            upstream is not None
            and upstream.instance == instance
            and upstream.born_ms == born_ms
        )

    def is_earlier_life(self, instance: str, born_ms: int) -> bool:
        """Return whether the current instance is a later life of one."""
        upstream = self.upstream
        return (
            upstream is not None
            and upstream.instance == instance
            and born_ms < upstream.born_ms
        )
