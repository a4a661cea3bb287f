"""Measures what decisions on starts and admission cost at several sizes.

Upstreams and arrivals grow together. Each line of the output is a JSON
object with the processor time of a start and of an admission.
"""

import json

import fire

from baobabgap.scheduling.tests.load_player import AdmissionOptions
from baobabgap.scheduling.tests.load_player import LoadSimulator
from baobabgap.scheduling.tests.load_player import make_trace
from baobabgap.scheduling.tests.load_player import UPSTREAMS


def main(
    upstreams: tuple[int, ...] = (11, 66, 165, 1700),
    loads: tuple[float, ...] = (1.0, 1.8),
    seconds: float = 4.0,
    seed: int = 5,
) -> None:
    """Measure each number of upstreams under each load."""
    for count in upstreams:
        for load in loads:
            print(json.dumps(_measure(count, load, seconds, seed)), flush=True)


def _measure(
    upstreams: int, load: float, seconds: float, seed: int
) -> dict[str, float]:
    factor = load * upstreams / UPSTREAMS
    trace = make_trace(seconds, lambda at: factor, seed)
    simulator = LoadSimulator(
        admission=AdmissionOptions(), upstreams=upstreams
    )
    outcome = simulator.run(trace)
    return {
        'upstreams': upstreams,
        'load': load,
        'starts_per_s': round(simulator.starts / seconds),
        'planning_us_per_start': round(
            1e6 * simulator.planning_s / simulator.starts, 1
        ),
        'admission_us_per_job': round(
            1e6 * simulator.admission_s / len(trace), 1
        ),
        'targets_examined_per_start': round(
            simulator.pool.examined / simulator.starts, 2
        ),
        'share_on_time': round(outcome.share_on_time, 3),
    }


if __name__ == '__main__':
    fire.Fire(main)
