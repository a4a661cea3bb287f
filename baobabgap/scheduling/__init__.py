"""Scheduling policies: admission, order of starts, placement, health.

They do no I/O and read no clock; the caller passes the time.
"""

from baobabgap.scheduling._admission import AdmissionInput
from baobabgap.scheduling._admission import admit
from baobabgap.scheduling._admission import Refusal
from baobabgap.scheduling._admission import retry_after
from baobabgap.scheduling._forecast import ExpectedRun
from baobabgap.scheduling._health import is_overdue
from baobabgap.scheduling._health import TargetHealth
from baobabgap.scheduling._job_plan import JobPlan
from baobabgap.scheduling._job_plan import LATE_FACTOR
from baobabgap.scheduling._job_plan import PlannedTask
from baobabgap.scheduling._look_ahead import Claim
from baobabgap.scheduling._planner import place_waiting
from baobabgap.scheduling._planner import Placement
from baobabgap.scheduling._run_times import RunTimes
from baobabgap.scheduling._start_queue import StartQueue
from baobabgap.scheduling._target_pool import TargetPool
from baobabgap.scheduling._targets import PlacementTarget

__all__ = [
    'AdmissionInput',
    'admit',
    'Claim',
    'ExpectedRun',
    'is_overdue',
    'JobPlan',
    'LATE_FACTOR',
    'place_waiting',
    'Placement',
    'PlacementTarget',
    'PlannedTask',
    'Refusal',
    'retry_after',
    'RunTimes',
    'StartQueue',
    'TargetHealth',
    'TargetPool',
]
