"""Learned run times: how far the submitters' estimates are off."""

from typing import Final

# The share of a new observation in the moving averages.
_WEIGHT: Final = 0.05
# Assumed for a task whose submitter gave no estimate, seconds.
_UNKNOWN_S: Final = 0.5
_SHORTEST_S: Final = 0.001


class RunTimes:
    """Moving averages of observed over estimated run time, by queue.

    An observation is divided by the slowness of the upstream that it was
    made on, so that a slow upstream doesn't make its queues look long.
    """

    def __init__(self) -> None:
        self._ratio_by_queue: dict[str, float] = {}

    def expected_s(self, queue: str, estimate_ms: int) -> float:
        """Return the seconds that a task should run on a sound upstream."""
        estimate_s = estimate_ms / 1000 if estimate_ms else _UNKNOWN_S
        return estimate_s * self._ratio_by_queue.get(queue, 1.0)

    def observe(
        self, queue: str, estimate_ms: int, run_s: float, slowness: float
    ) -> None:
        """Learn from one run that was done."""
        estimate_s = estimate_ms / 1000 if estimate_ms else _UNKNOWN_S
        ratio = run_s / max(slowness, 1.0) / max(estimate_s, _SHORTEST_S)
        held = self._ratio_by_queue.get(queue)
        if held is None:
            self._ratio_by_queue[queue] = ratio
        else:
            # One straggler moves the average by no more than three fold.
            ratio = min(ratio, 3 * held)
            self._ratio_by_queue[queue] = held + _WEIGHT * (ratio - held)
