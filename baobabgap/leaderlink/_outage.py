"""How long a call waits for a leader.

Answers the load of calls that go on arriving while the leader is lost: a
call that the next leader can't serve in time is answered at once, and the
others wait as long as the next leader is likely to come.
"""

from collections.abc import Sequence
from dataclasses import dataclass
import math
from typing import Final

from baobabgap.jobmodel import Step
from baobabgap.protocol import QueueObjective

# Seconds after the loss of a leader within which calls wait for the next one;
# slightly longer than an election.
_LONGEST_WAIT_S: Final = 1.2
# Seconds for which a call waits for a leader if its job may have begun.
_BEGUN_WAIT_S: Final = 5.0
# Seconds without a leader that are expected before any were measured.
_FIRST_USUAL_S: Final = 0.5
# Weight of the latest measurement.
_LATEST_SHARE: Final = 0.3


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call without an answer; times are on the monotonic clock."""

    arrived_at: float
    # Until when its caller waits.
    answer_by: float
    # Seconds for which it may wait for a leader.
    leader_wait_s: float
    # Until when the end of its job is worth anything, and the expected
    # duration of the job in seconds.
    useful_until: float = math.inf
    run_s: float = 0.0
    # Since when its job may have begun; None if it certainly has not.
    begun_at: float | None = None


@dataclass(frozen=True, slots=True)
class Outage:
    """A period without a leader."""

    since: float
    # Seconds that such a period usually takes.
    usual_s: float

    def reason_to_give_up(self, call: WaitingCall, now: float) -> str:
        """Return why a call should wait no longer, or an empty string."""
        if now >= call.answer_by:
            return 'its caller waits no longer'
        if call.begun_at is not None:
            if now >= call.useful_until:
                return 'its end would be too late'
            if now >= call.begun_at + _BEGUN_WAIT_S:
                return 'no leader for long'
            return ''
        if now >= min(
            max(call.arrived_at, self.since) + call.leader_wait_s,
            self.since + _LONGEST_WAIT_S,
        ):
            return 'no leader'
        if max(now, self.usual_end) + call.run_s > call.useful_until:
            return 'too late for the next leader'
        return ''

    def retry_after_ms(self, now: float) -> int:
        """Return when the next leader is expected; 0 if that has passed."""
        return max(0, round(1000 * (self.usual_end - now)))

    @property
    def usual_end(self) -> float:
        """When the next leader is expected."""
        return self.since + self.usual_s


class UsualOutage:
    """The usual duration of an outage, learned from earlier ones."""

    def __init__(self) -> None:
        self.usual_s = _FIRST_USUAL_S

    def note(self, outage_s: float) -> None:
        """Record an outage; a longer one than calls wait for counts less."""
        outage_s = min(outage_s, _LONGEST_WAIT_S)
        self.usual_s += _LATEST_SHARE * (outage_s - self.usual_s)


def find_objective(
    objectives: Sequence[QueueObjective], host: str, path: str
) -> QueueObjective | None:
    """Return the objective of the queue with the longest matching prefix."""
    host = host.partition(':')[0].lower()
    matching = [
        objective
        for objective in objectives
        if objective.host == host and path.startswith(objective.path_prefix)
    ]
    return max(
        matching, key=lambda match: len(match.path_prefix), default=None
    )


def expected_run_s(steps: Sequence[Step]) -> float:
    """Return the estimate of the longest chain of steps in seconds."""
    end_s_by_step: list[float] = []
    for step in steps:
        begin_s = max(
            (
                end_s_by_step[earlier]
                for earlier in step.after
                if earlier < len(end_s_by_step)
            ),
            default=0.0,
        )
        end_s_by_step.append(begin_s + step.estimate_ms / 1000)
    return max(end_s_by_step, default=0.0)
