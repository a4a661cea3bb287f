"""Health of the upstream, and ejection after repeated failures."""

from dataclasses import dataclass
from typing import Final

from baobabgap.settings import AgentSettings

# Seconds without new tasks after the upstream refused a start.
_REFUSAL_PAUSE_S: Final = 0.5
_FIRST_EJECTION_S: Final = 3.0
_LONGEST_EJECTION_S: Final = 60.0
_PROBATION_SLOTS: Final = 1


@dataclass(frozen=True, slots=True)
class UsableSlots:
    """How many slots of the upstream may be used, and why none."""

    # Maximum number of concurrent tasks.
    slots: int
    # Why there are no usable slots; empty if there are some.
    reason: str = ''


class UpstreamHealth:
    """Derives the usable slots from health checks and task results.

    An upstream whose application answers no checks is silent. One that
    fails tasks of several jobs in a row is ejected: it gets no tasks for a
    backoff period, and then one task at a time until one succeeds. All
    failures of one job count once, so that a single job of faulty tasks
    ejects no upstream. Times are in seconds of the monotonic clock.
    """

    def __init__(self, settings: AgentSettings) -> None:
        self._settings = settings
        self._failed_jobs: set[str] = set()
        self._ejected_until = 0.0
        self._ejection_s = 0.0
        self._last_successful_check = 0.0
        self._failed_checks = 0
        self._is_unreachable = False
        self._refused_until = 0.0

    def reset(self, now: float) -> None:
        """Clear the failure history: there is a new upstream process."""
        self._failed_jobs.clear()
        self._ejection_s = 0.0
        self._ejected_until = 0.0
        self._refused_until = 0.0
        self.note_successful_check(now)

    def note_successful_check(self, sent_at: float) -> None:
        """Record that the application answered a check sent at `sent_at`."""
        self._last_successful_check = sent_at
        self._failed_checks = 0
        self._is_unreachable = False

    def note_failed_check(self) -> None:
        """Record that a check got no valid answer."""
        self._failed_checks += 1

    def note_unreachable(self) -> None:
        """Record that nothing listens at the upstream's address."""
        self._is_unreachable = True

    def note_refusal(self, now: float) -> None:
        """Record that the upstream refused a start; this pauses new tasks."""
        self._refused_until = now + _REFUSAL_PAUSE_S

    def note_success(self) -> None:
        """Record that a task returned a value."""
        self._failed_jobs.clear()
        self._ejection_s = 0.0

    def note_failure(self, job: str, now: float) -> None:
        """Record that the upstream reported an error for a task."""
        self._failed_jobs.add(job)
        on_probation = self._ejection_s > 0 and now >= self._ejected_until
        limit = self._settings.failures_before_ejection
        if on_probation or len(self._failed_jobs) >= limit:
            self._eject(now)

    def have_leases_lapsed(self, now: float, lease_s: float) -> bool:
        """Return whether all leases have lapsed for lack of renewal."""
        silent_s = now - self._last_successful_check
        return self._failed_checks >= 2 and silent_s > lease_s

    def usable_slots(self, slots: int, now: float) -> UsableSlots:
        """Return how many of `slots` may be used at time `now`."""
        silent_s = now - self._last_successful_check
        if self._is_unreachable:
            return UsableSlots(0, 'nobody listens at its address')
        if (
            self._failed_checks > 0
            and silent_s > self._settings.upstream_silence_s
        ):
            return UsableSlots(0, 'its application is silent')
        if now < self._refused_until:
            return UsableSlots(0, 'it refuses to start tasks')
        if now < self._ejected_until:
            return UsableSlots(0, 'ejected: it fails task after task')
        if self._ejection_s > 0:
            return UsableSlots(min(slots, _PROBATION_SLOTS))
        return UsableSlots(slots)

    def _eject(self, now: float) -> None:
        if now < self._ejected_until:
            return
        self._ejection_s = min(
            max(2 * self._ejection_s, _FIRST_EJECTION_S), _LONGEST_EJECTION_S
        )
        self._ejected_until = now + self._ejection_s
        self._failed_jobs.clear()
