"""The runs that an agent has ordered or found on its upstream."""

from dataclasses import dataclass

from baobabgap.accepted import Demand
from baobabgap.accepted import TaskId
from baobabgap.dispatch import RunRow
from baobabgap.upstreams._client import HeldRun
from baobabgap.upstreams._client import Holding


@dataclass(slots=True)
class TrackedRun:
    """One run, from its order to its end."""

    task: TaskId
    run: int
    demand: Demand = Demand()
    # Whether the upstream has listed it or has acknowledged its start.
    is_confirmed: bool = False
    # Whether a start is under way whose answer has not come.
    is_in_flight: bool = True
    # Whether it is to be stopped; a stop is repeated until answered.
    must_stop: bool = False
    # When a stop was sent last, in seconds of `boottime_clock`.
    stop_sent_at: float = float('-inf')
    # When a stop was answered; the run can't come into being after that.
    stopped_at: float | None = None
    # Why it is reported as gone when the upstream no longer lists it.
    reason: str = 'stopped'

    @property
    def row(self) -> RunRow:
        """The run as the leader is told of it."""
        return RunRow(self.task, self.run, self.is_confirmed, self.demand)


class RunTable:
    """All runs of one life of the upstream; the caller holds a lock."""

    def __init__(self) -> None:
        self.run_by_task: dict[TaskId, TrackedRun] = {}

    def rows(self) -> tuple[RunRow, ...]:
        """Return all runs that exist or may come into being."""
        return tuple(run.row for run in self.run_by_task.values())

    def get(self, task: TaskId, run: int) -> TrackedRun | None:
        """Return a run of exactly that number."""
        tracked = self.run_by_task.get(task)
        return tracked if tracked and tracked.run == run else None

    def remove(self, task: TaskId, run: int) -> None:
        """Forget a run."""
        if self.get(task, run) is not None:
            del self.run_by_task[task]

    def take_holding(
        self, holding: Holding, asked_at: float
    ) -> tuple[list[RunRow], list[RunRow]]:
        """Compare with the upstream's lists from a call sent at `asked_at`.

        Returns the runs that nobody here knew, and those whose stop was
        answered before `asked_at` and which are not listed: they don't run
        and never will.
        """
        found = [
            self._find(held)
            for held in holding.running
            if not self._confirm(held)
        ]
        for row in holding.ended:
            self.remove(row.task, row.run)
        listed = {(held.task, held.run) for held in holding.running}
        gone = [
            run
            for run in self.run_by_task.values()
            if (run.task, run.run) not in listed
            and run.stopped_at is not None
            and run.stopped_at <= asked_at
        ]
        for run in gone:
            del self.run_by_task[run.task]
        return found, [run.row for run in gone]

    def to_stop(self, sent_before: float) -> list[TrackedRun]:
        """Return the runs to be stopped whose last stop got no answer."""
        return [
            run
            for run in self.run_by_task.values()
            if run.must_stop
            and not run.is_in_flight
            and run.stopped_at is None
            and run.stop_sent_at <= sent_before
        ]

    def _confirm(self, held: HeldRun) -> bool:
        """Note that a known run is there; False if it is unknown."""
        tracked = self.run_by_task.get(held.task)
        if tracked is None or tracked.run < held.run:
            return False
        if tracked.run == held.run:
            tracked.is_confirmed = True
        return True

    def _find(self, held: HeldRun) -> RunRow:
        run = TrackedRun(
            held.task, held.run, is_confirmed=True, is_in_flight=False
        )
        self.run_by_task[held.task] = run
        return run.row
