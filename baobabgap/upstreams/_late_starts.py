"""Start calls that may reach the next incarnation of an upstream."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import LeaseTiming
from baobabgap.upstreams._run_table import TrackedRun


@dataclass(frozen=True, slots=True, eq=False)
class SentStart:
    """A start call; equal to itself only."""

    # The upstream's identity, which its next incarnation may have, too.
    instance: str
    task: TaskId
    run: int
    demand: Demand
    # Seconds of `boottime_clock`.
    sent_at: float


class LateStarts:
    """The start calls that the next incarnation may have carried out.

    The next incarnation of an upstream accepts the calls to an earlier one
    if it has the same identity. It knows of no stop, fence or end, and a
    lease that was counted on the earlier clock ends long after it. An answer
    doesn't say which incarnation gave it, unless a later poll shows that the
    earlier one is still there. Not safe for use by several threads.
    """

    def __init__(self, timing: LeaseTiming, started_at: float) -> None:
        """Create the records of a process that started at `started_at`."""
        self._timing: Final = timing
        self._started_at: Final = started_at
        # In the order in which they were sent, with the times of their
        # answers; None without an answer.
        self._starts: dict[SentStart, float | None] = {}

    def begin(self, instance: str, run: TrackedRun, now: float) -> SentStart:
        """Record a start call that is about to be sent."""
        self._forget_old(now)
        start = SentStart(instance, run.task, run.run, run.demand, now)
        self._starts[start] = None
        return start

    def note_answered(self, start: SentStart, now: float) -> None:
        """Record that the upstream has carried out a call."""
        if start in self._starts:
            self._starts[start] = now

    def settle(self, start: SentStart) -> None:
        """Record that a call had no effect, or was not delivered."""
        self._starts.pop(start, None)

    def settle_answered(self, sent_at: float) -> None:
        """Settle what was answered before a poll sent at `sent_at`.

        The poll has shown that the incarnation is the same as before.
        """
        for start, answered_at in list(self._starts.items()):
            if answered_at is not None and answered_at <= sent_at:
                del self._starts[start]

    def are_possible(self, instance: str, now: float) -> bool:
        """Return whether the next incarnation may start a run.

        An earlier process of the agent may have sent starts until it ended.
        """
        return now - self._started_at < self._timing.late_call_s or any(
            self.runs_to_stop(instance, now)
        )

    def runs_to_stop(self, instance: str, now: float) -> Iterator[TrackedRun]:
        """Return the runs that the next incarnation may still start.

        Of the runs of one task only the highest: its stop makes the upstream
        reject the others, too.
        """
        self._forget_old(now)
        start_by_task: dict[TaskId, SentStart] = {}
        for start in self._starts:
            known = start_by_task.get(start.task)
            if start.instance == instance and (
                known is None or known.run <= start.run
            ):
                start_by_task[start.task] = start
        for start in start_by_task.values():
            yield TrackedRun(
                start.task,
                start.run,
                start.demand,
                is_in_flight=False,
                must_stop=True,
                reason='restarted',
                may_run_until=start.sent_at + self._timing.late_run_s,
            )

    def _forget_old(self, now: float) -> None:
        for start in list(self._starts):
            if now - start.sent_at < self._timing.late_call_s:
                return
            del self._starts[start]
