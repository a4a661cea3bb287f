"""Values by queue that the leader exports: waiting jobs and shares."""

from collections import Counter
from collections.abc import Mapping
from typing import Final

from baobabgap.dispatch._term_state import TermState

# Seconds between updates.
_INTERVAL_S: Final = 1.0


class QueueReport:
    """A snapshot of each queue's waiting jobs and share.

    `update` belongs to the scheduler's task; any task may read the values.
    """

    def __init__(self, term_state: TermState) -> None:
        self._term_state: Final = term_state
        self._next_update_at = 0.0
        # Replaced as a whole, so that readers need no lock.
        self._values: Mapping[str, float] = {}

    def values(self) -> Mapping[str, float]:
        """Return the latest values by metric name."""
        return self._values

    def update(self, now: float) -> None:
        """Compute the values anew, if the latest ones are old."""
        if now < self._next_update_at:
            return
        self._next_update_at = now + _INTERVAL_S
        term_state = self._term_state
        values: dict[str, float] = {}
        waiting = Counter(
            plan.job.queue
            for plan in term_state.plan_by_id.values()
            if not plan.has_started
        )
        for service, shares in list(term_state.shares_by_service.items()):
            cores = term_state.usable_cores(service, now)
            for queue, share in shares.share_by_queue(cores, now).items():
                label = f'{{queue="{queue}"}}'
                values[f'baobabgap_queue_waiting{label}'] = waiting[queue]
                values[f'baobabgap_queue_asked_cores{label}'] = (
                    share.asked_cores
                )
                values[f'baobabgap_queue_due_cores{label}'] = share.due_cores
                values[f'baobabgap_queue_had_cores{label}'] = share.had_cores
        self._values = values
