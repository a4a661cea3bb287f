"""Which waiting jobs start soon."""

import unittest

from baobabgap.accepted import AcceptedJob
from baobabgap.accepted import Demand
from baobabgap.accepted import Step
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import RunTimes
from baobabgap.scheduling import WaitingJobs

NOW = 100.0
CORES = 10.0


def make_plan(
    job_id: str, arrived_at: float, *, label: str = '', accelerators: int = 0
) -> JobPlan:
    """Return a job of one core-second."""
    demand = Demand(1000, 10, accelerators)
    steps = (Step(1, demand, 1000, required_label=label),)
    job = AcceptedJob(job_id, 'q', 's', 0, 1, 2.0, 0, '', steps, 0, 1, True)
    return JobPlan(job, arrived_at, RunTimes())


def ids(plans: tuple[JobPlan, ...]) -> list[str]:
    return [plan.job.job_id for plan in plans]


class WaitingJobsTest(unittest.TestCase):
    def test_most_urgent_jobs_start_soon(self) -> None:
        """Three core-seconds are 0.3 s of work for ten cores."""
        plans = [make_plan(str(n), NOW - n / 10) for n in range(6)]
        waiting = WaitingJobs.from_plans(plans, NOW, CORES)
        self.assertEqual(['5', '4', '3'], ids(waiting.soon))
        self.assertEqual(['2', '1', '0'], ids(waiting.later))

    def test_late_jobs_start_later(self) -> None:
        plans = [make_plan('late', NOW - 3.0)]
        plans += [make_plan(str(n), NOW) for n in range(3)]
        waiting = WaitingJobs.from_plans(plans, NOW, CORES)
        self.assertEqual(['late'], ids(waiting.later))

    def test_job_with_few_possible_upstreams_always_counts_as_soon(
        self,
    ) -> None:
        """It may start before others that can't yet, whatever its place."""
        plans = [make_plan(str(n), NOW - 0.5) for n in range(4)]
        plans += [
            make_plan('label', NOW, label='x'),
            make_plan('accelerator', NOW, accelerators=1),
        ]
        waiting = WaitingJobs.from_plans(plans, NOW, CORES)
        self.assertEqual(['3'], ids(waiting.later))
        self.assertIn('label', ids(waiting.soon))
        self.assertIn('accelerator', ids(waiting.soon))

    def test_nothing_is_later_without_an_open_core(self) -> None:
        plans = [make_plan(str(n), NOW) for n in range(6)]
        self.assertEqual((), WaitingJobs.from_plans(plans, NOW, 0.0).later)


if __name__ == '__main__':
    unittest.main()
