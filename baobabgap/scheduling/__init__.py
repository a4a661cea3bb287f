"""Scheduling policies: admission, order of starts, placement, health.

They do no I/O and read no clock; the caller passes the time.
"""

from baobabgap.scheduling._admission import AdmissionInput
from baobabgap.scheduling._admission import admit
from baobabgap.scheduling._admission import Refusal
from baobabgap.scheduling._admission import RefusalKind
from baobabgap.scheduling._admission import retry_after
from baobabgap.scheduling._admission import usable_cores
from baobabgap.scheduling._admission import without_prospect
from baobabgap.scheduling._deferral import WaitingJobs
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
from baobabgap.scheduling._shares import QueueShare
from baobabgap.scheduling._shares import QueueShares
from baobabgap.scheduling._start_queue import StartQueue
from baobabgap.scheduling._target_pool import TargetPool
from baobabgap.scheduling._targets import PlacementTarget
from baobabgap.scheduling._upstream_speed import SpeedBaseline

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
    'QueueShare',
    'QueueShares',
    'Refusal',
    'RefusalKind',
    'retry_after',
    'RunTimes',
    'SpeedBaseline',
    'StartQueue',
    'TargetHealth',
    'TargetPool',
    'WaitingJobs',
    'usable_cores',
    'without_prospect',
]
