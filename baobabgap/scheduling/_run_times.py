"""Learned run times: how far the submitters' estimates are off."""

from typing import Final

# The share of a new observation in the moving averages.
_WEIGHT: Final = 0.03
# Assumed for a task whose submitter gave no estimate, seconds.
_UNKNOWN_S: Final = 0.5
_SHORTEST_S: Final = 0.001


class RunTimes:
    """Moving averages of observed over estimated run time.

    They are kept by queue, over all kinds of upstreams, and by kind, over
    what the queues lead to expect.
    """

    def __init__(self) -> None:
        self._ratio_by_queue: dict[str, float] = {}
        self._slowness_by_kind: dict[str, float] = {}

    def slowness(self, kind: str) -> float:
        """Return how long runs take on a kind of upstream; 1 is usual."""
        return self._slowness_by_kind.get(kind, 1.0)

    def expected_s(self, queue: str, estimate_ms: int) -> float:
        """Return the seconds that a task should run on a sound upstream."""
        estimate_s = estimate_ms / 1000 if estimate_ms else _UNKNOWN_S
        return estimate_s * self._ratio_by_queue.get(queue, 1.0)

    def observe(
        self, queue: str, kind: str, estimate_ms: int, run_s: float
    ) -> None:
        """Learn from one run that was done."""
        estimate_s = estimate_ms / 1000 if estimate_ms else _UNKNOWN_S
        ratio = run_s / max(estimate_s, _SHORTEST_S)
        expected = self._ratio_by_queue.get(queue, 1.0)
        _move(self._ratio_by_queue, queue, ratio)
        _move(self._slowness_by_kind, kind, ratio / expected)


def _move(average_by_key: dict[str, float], key: str, value: float) -> None:
    held = average_by_key.get(key, 1.0)
    # One straggler moves an average by no more than three fold.
    average_by_key[key] = held + _WEIGHT * (min(value, 3 * held) - held)
