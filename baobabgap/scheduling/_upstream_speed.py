"""The speed of each upstream, learned from its own runs.

Answers the load of upstreams of one kind that differ in speed, or that turn
slow or fast again while they run: a job ends with its slowest task, so that
the upstreams where tasks end soonest have to be known. Estimates are rough
and a few tasks run for several times as long, so that a single run says
little.
"""

from dataclasses import dataclass
import math
from typing import Final

# Runs after which the evidence of an upstream counts as much as what is
# known of its kind.
_RUNS_OF_THE_KIND: Final = 4.0
# Number of the latest runs that count; a change of speed shows after them.
_MOST_RUNS: Final = 20.0
# Time constant in seconds with which evidence loses weight.
_FADING_S: Final = 10.0
# Largest factor by which a single run may differ from the expected one.
_LARGEST_RATIO: Final = 3.0
# Least weight of a run in the average over all upstreams; the first runs
# weigh more.
_BASELINE_WEIGHT: Final = 0.01
# Least change of the factor that is passed on: each change moves the
# upstream within the order of placement.
_LEAST_CHANGE: Final = 0.15


class SpeedBaseline:
    """The usual ratio of run times to expected ones, over all upstreams.

    What makes all runs longer, such as estimates that are too low or a slow
    machine that measures them, is no property of one upstream.
    """

    def __init__(self) -> None:
        self._log_ratio = 0.0
        self._runs = 0

    def relative(self, run_s: float, expected_s: float) -> float:
        """Record a run; return the logarithm of its ratio to the usual one."""
        log_ratio = math.log(max(run_s, 1e-6) / max(expected_s, 1e-6))
        self._runs += 1
        weight = 1 / self._runs
        if weight > _BASELINE_WEIGHT:
            self._log_ratio += weight * (log_ratio - self._log_ratio)
        else:
            self._log_ratio += _BASELINE_WEIGHT * _clipped(
                log_ratio - self._log_ratio
            )
        return _clipped(log_ratio - self._log_ratio)


@dataclass(slots=True)
class UpstreamSpeed:
    """The run time factor of one upstream against its kind.

    For example, runs that take 0.8 of the usual time::

        speed = UpstreamSpeed()
        for _ in range(40):
            speed.observe(math.log(0.8), now)
        speed.factor  # about 0.8
    """

    # 1 while it is not clearly faster or slower than its kind.
    factor: float = 1.0
    # Average logarithm of the ratios, and the weight of the runs in it.
    _log_ratio: float = 0.0
    _runs: float = 0.0
    _observed_at: float = 0.0

    @property
    def confidence(self) -> float:
        """The weight of its own runs against its kind, from 0 to 1."""
        return self._runs / (self._runs + _RUNS_OF_THE_KIND)

    def observe(self, log_ratio: float, now: float) -> bool:
        """Record a run's ratio to the usual one; return if `factor` changed.

        `log_ratio` comes from `SpeedBaseline.relative`.
        """
        self._fade(now)
        self._runs = min(self._runs + 1, _MOST_RUNS)
        self._log_ratio += (log_ratio - self._log_ratio) / self._runs
        learned = math.exp(self.confidence * self._log_ratio)
        if abs(learned - self.factor) < _LEAST_CHANGE:
            return False
        self.factor = round(learned, 2)
        return True

    def _fade(self, now: float) -> None:
        age_s = max(0.0, now - self._observed_at)
        self._runs *= math.exp(-age_s / _FADING_S)
        self._observed_at = now


def _clipped(log_ratio: float) -> float:
    limit = math.log(_LARGEST_RATIO)
    return max(-limit, min(limit, log_ratio))
