"""The runs that an agent started or discovered on its upstream."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Set
from dataclasses import dataclass

from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import RunRow
from baobabgap.upstreams._client import ActiveRun
from baobabgap.upstreams._client import UpstreamReport


@dataclass(slots=True)
class TrackedRun:
    """A run, from its start order until it has ended."""

    task: TaskId
    run: int
    demand: Demand = Demand()
    # Whether the upstream has listed the run or confirmed its start.
    is_confirmed: bool = False
    # Whether the call that starts it has not been answered yet.
    is_in_flight: bool = True
    # Whether to stop the run; the stop is repeated until answered.
    must_stop: bool = False
    # Time of the last stop call, seconds of `boottime_clock`.
    stop_sent_at: float = float('-inf')
    # Time of the answer to a stop; the run cannot start after that.
    stopped_at: float | None = None
    # The reason to report once the upstream no longer lists the run.
    reason: str = 'stopped'
    # When its start was sent, seconds of `boottime_clock`; None before that
    # and for a run of an earlier process of the agent.
    began_at: float | None = None
    # Until when it may run although the lease has expired, as an earlier
    # incarnation was to start it.
    may_run_until: float = float('-inf')

    def age_ms(self, now: float) -> int | None:
        """Return the milliseconds since its start; None if unknown."""
        if self.began_at is None:
            return None
        return max(0, round(1000 * (now - self.began_at)))

    @property
    def row(self) -> RunRow:
        """The run in the form that is reported to the leader."""
        return RunRow(self.task, self.run, self.is_confirmed, self.demand)


class RunTable:
    """All runs of one incarnation of the upstream.

    Not safe for use by several threads: the caller holds a lock.
    """

    def __init__(self) -> None:
        self.run_by_task: dict[TaskId, TrackedRun] = {}
        # Listed runs with a lower number than the tracked one of the task.
        self._lower_runs: dict[tuple[TaskId, int], TrackedRun] = {}

    def rows(self) -> tuple[RunRow, ...]:
        """Return all runs that are running or may still start."""
        return tuple(run.row for run in self.run_by_task.values())

    def get(self, task: TaskId, run: int) -> TrackedRun | None:
        """Return the run of a task with exactly this run number."""
        tracked = self.run_by_task.get(task)
        return tracked if tracked and tracked.run == run else None

    def remove(self, task: TaskId, run: int) -> None:
        """Remove a run, if it is in the table."""
        if self.get(task, run) is not None:
            del self.run_by_task[task]

    def apply_report(
        self,
        report: UpstreamReport,
        sent_at: float,
        open_runs: Set[tuple[TaskId, int]] = frozenset(),
        may_be_hidden: Callable[[float | None], bool] = lambda began_at: False,
    ) -> tuple[list[RunRow], list[RunRow]]:
        """Reconcile with the report to a poll sent at `sent_at`.

        Returns the runs that the table didn't have, and the removed runs:
        those whose stop was answered before `sent_at` and that the report
        doesn't list, so that they don't run and never will. Keeps
        `open_runs`, whose ends aren't believed yet, and those that may be
        hidden by a row that couldn't be read, by the time of their start.
        """
        self._note_lower(report.running)
        unknown = [
            self._add_unknown(listed)
            for listed in report.running
            if not self._confirm(listed)
        ]
        for end in report.ended:
            self.remove(end.task, end.run)
        listed_runs = {(listed.task, listed.run) for listed in report.running}
        listed_runs |= open_runs
        gone = [
            run
            for run in self.run_by_task.values()
            if not may_be_hidden(run.began_at)
            and (run.task, run.run) not in listed_runs
            and run.stopped_at is not None
            and run.stopped_at <= sent_at
        ]
        for run in gone:
            del self.run_by_task[run.task]
        return unknown, [run.row for run in gone]

    @property
    def has_rejected_run(self) -> bool:
        """Whether the next report tells of a run that it is gone.

        Unless the report lists the run, which is then stopping.
        """
        return any(
            run.stopped_at is not None and not run.is_confirmed
            for run in self.run_by_task.values()
        )

    def may_run_at(self, now: float) -> bool:
        """Return whether a run may go on although the lease has expired."""
        return any(
            run.may_run_until >= now for run in self.run_by_task.values()
        )

    def pop_lapsed(self, now: float) -> list[TrackedRun]:
        """Remove and return the runs that end with the upstream's lease."""
        runs = [
            run for run in self.run_by_task.values() if run.may_run_until < now
        ]
        for run in runs:
            del self.run_by_task[run.task]
        return runs

    def stops_due(self, sent_before: float) -> list[TrackedRun]:
        """Return the runs to stop whose stop call is due.

        Omits runs whose start is in flight, whose stop was answered, or
        whose last stop call is later than `sent_before`.
        """
        return [
            run
            for run in (*self.run_by_task.values(), *self._lower_runs.values())
            if run.must_stop
            and not run.is_in_flight
            and run.stopped_at is None
            and run.stop_sent_at <= sent_before
        ]

    def _note_lower(self, running: Iterable[ActiveRun]) -> None:
        """Stop listed runs that a later run of the task has replaced.

        Such a run was started by a late call. The leader doesn't know it,
        and another run of its task may be running.
        """
        known = self._lower_runs
        self._lower_runs = {}
        for listed in running:
            tracked = self.run_by_task.get(listed.task)
            if tracked is None or tracked.run <= listed.run:
                continue
            key = (listed.task, listed.run)
            self._lower_runs[key] = known.get(key) or TrackedRun(
                listed.task,
                listed.run,
                is_confirmed=True,
                is_in_flight=False,
                must_stop=True,
            )

    def _confirm(self, listed: ActiveRun) -> bool:
        """Mark a known run as confirmed; return False for an unknown one."""
        tracked = self.run_by_task.get(listed.task)
        if tracked is None or tracked.run < listed.run:
            return False
        if tracked.run == listed.run:
            tracked.is_confirmed = True
        return True

    def _add_unknown(self, listed: ActiveRun) -> RunRow:
        run = TrackedRun(
            listed.task, listed.run, is_confirmed=True, is_in_flight=False
        )
        self.run_by_task[listed.task] = run
        return run.row
