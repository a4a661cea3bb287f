"""Whether the upstream may be trusted with new tasks."""

from dataclasses import dataclass
from typing import Final

from baobabgap.settings import AgentSettings

# Seconds without new tasks after a start was refused.
_REFUSAL_PAUSE_S: Final = 0.5
_FIRST_EJECTION_S: Final = 3.0
_LONGEST_EJECTION_S: Final = 60.0
_PROBATION_SLOTS: Final = 1


@dataclass(frozen=True, slots=True)
class Fitness:
    """How many tasks the upstream may be given, and why not more."""

    # Tasks at once.
    slots: int
    # Why there are none; empty if there are.
    reason: str = ''


class UpstreamHealth:
    """Judges the upstream by its answers and by its results.

    An upstream whose application answers no checks is silent. One that
    fails tasks of several jobs in a row is ejected: it gets nothing for a
    pause, and then one task at a time until one succeeds. A single job of
    bad tasks ejects nobody. Times are of the monotonic clock.
    """

    def __init__(self, settings: AgentSettings) -> None:
        self._settings = settings
        self._failed_jobs: set[str] = set()
        self._ejected_until = 0.0
        self._ejection_s = 0.0
        self._last_good_check = 0.0
        self._failed_checks = 0
        self._is_unreachable = False
        self._refused_until = 0.0

    def restart(self, now: float) -> None:
        """Forget all that was known: there is a new upstream process."""
        self._failed_jobs.clear()
        self._ejection_s = 0.0
        self.note_good_check(now)

    def note_good_check(self, sent_at: float) -> None:
        """Record that the application answered a request sent then."""
        self._last_good_check = sent_at
        self._failed_checks = 0
        self._is_unreachable = False

    def note_failed_check(self) -> None:
        """Record that a check got no usable answer."""
        self._failed_checks += 1

    def note_unreachable(self) -> None:
        """Record that nobody listens where the upstream was."""
        self._is_unreachable = True

    def note_refusal(self, now: float) -> None:
        """Record that the upstream refused a start, so that it rests."""
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

    def has_lapsed(self, now: float, lease_s: float) -> bool:
        """Tell whether leases have lapsed for want of renewal."""
        silent_s = now - self._last_good_check
        return self._failed_checks >= 2 and silent_s > lease_s

    def fitness(self, slots: int, now: float) -> Fitness:
        """Tell how many of its slots may be used now."""
        silent_s = now - self._last_good_check
        if self._is_unreachable:
            return Fitness(0, 'nobody listens at its address')
        if (
            self._failed_checks > 0
            and silent_s > self._settings.upstream_silence_s
        ):
            return Fitness(0, 'its application is silent')
        if now < self._refused_until:
            return Fitness(0, 'it refuses to start tasks')
        if now < self._ejected_until:
            return Fitness(0, 'ejected: it fails task after task')
        if self._ejection_s > 0:
            return Fitness(min(slots, _PROBATION_SLOTS))
        return Fitness(slots)

    def _eject(self, now: float) -> None:
        if now < self._ejected_until:
            return
        self._ejection_s = min(
            max(2 * self._ejection_s, _FIRST_EJECTION_S), _LONGEST_EJECTION_S
        )
        self._ejected_until = now + self._ejection_s
        self._failed_jobs.clear()
