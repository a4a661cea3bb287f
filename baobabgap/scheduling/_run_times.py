"""Run time estimates, corrected by observed run times."""

from typing import Final

# Weight of a new observation in the exponential moving averages.
_SMOOTHING_FACTOR: Final = 0.03
# Weight of a new observation in the averages of all queues, in which rare long
# runs have to count.
_WORK_SMOOTHING_FACTOR: Final = 0.0005
_LARGEST_WORK_FACTOR: Final = 2.0
# Used for tasks whose submitter gave no estimate.
_DEFAULT_ESTIMATE_S: Final = 0.5
_MIN_ESTIMATE_S: Final = 0.001


class RunTimes:
    """Moving averages of the ratio of observed to predicted run time.

    One average per queue corrects the submitters' estimates. One per kind
    of upstream compares its run times with those that the queue's average
    predicts. Each is updated with what the other leaves unexplained, as
    queues may mostly run on one kind; the average run has slowness 1.
    """

    def __init__(self) -> None:
        self._ratio_by_queue: dict[str, float] = {}
        self._slowness_by_kind: dict[str, float] = {}
        self._mean_slowness = 1.0
        # Average times of a run of any queue, observed and expected.
        self._mean_run_s = 0.0
        self._mean_expected_s = 0.0

    @property
    def work_factor(self) -> float:
        """Return by what factor runs take longer than expected, at least 1.

        Includes rare runs that take many times as long, which the averages
        by queue leave out.
        """
        if not self._mean_expected_s:
            return 1.0
        factor = self._mean_run_s / self._mean_expected_s
        return min(max(1.0, factor), _LARGEST_WORK_FACTOR)

    def slowness(self, kind: str) -> float:
        """Return the run time factor of a kind of upstream; 1 is average."""
        if kind not in self._slowness_by_kind:
            return 1.0
        return self._slowness_by_kind[kind] / self._mean_slowness

    def expected_s(self, queue: str, estimate_ms: int) -> float:
        """Return the expected run time in seconds on a healthy upstream."""
        estimate_s = estimate_ms / 1000 if estimate_ms else _DEFAULT_ESTIMATE_S
        ratio = self._ratio_by_queue.get(queue, 1.0)
        return estimate_s * ratio * self._mean_slowness

    def observe(
        self, queue: str, kind: str, estimate_ms: int, run_s: float
    ) -> None:
        """Update the averages with one successful run."""
        estimate_s = estimate_ms / 1000 if estimate_ms else _DEFAULT_ESTIMATE_S
        ratio = run_s / max(estimate_s, _MIN_ESTIMATE_S)
        expected = self._ratio_by_queue.get(queue, 1.0)
        self._note_work(run_s, self.expected_s(queue, estimate_ms))
        slowness = self._slowness_by_kind.get(kind, 1.0)
        _update_average(self._ratio_by_queue, queue, ratio / slowness)
        _update_average(self._slowness_by_kind, kind, ratio / expected)
        self._mean_slowness += _SMOOTHING_FACTOR * (
            slowness - self._mean_slowness
        )

    def _note_work(self, run_s: float, expected_s: float) -> None:
        if not self._mean_expected_s:
            self._mean_run_s = self._mean_expected_s = expected_s
        self._mean_run_s += _WORK_SMOOTHING_FACTOR * (run_s - self._mean_run_s)
        self._mean_expected_s += _WORK_SMOOTHING_FACTOR * (
            expected_s - self._mean_expected_s
        )


def _update_average(
    average_by_key: dict[str, float], key: str, value: float
) -> None:
    average = average_by_key.get(key, 1.0)
    # Limits an outlier to three times the average.
    average_by_key[key] = average + _SMOOTHING_FACTOR * (
        min(value, 3 * average) - average
    )
