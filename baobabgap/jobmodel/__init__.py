"""Accepted jobs with their steps and tasks, and how runs end.

Apart from `accepted`, so that entries and agents don't import the leader's
stored state.
"""

from baobabgap.jobmodel._crashes import CrashEvidence
from baobabgap.jobmodel._crashes import is_given_up
from baobabgap.jobmodel._crashes import must_run_alone
from baobabgap.jobmodel._crashes import UPSTREAM_CRASHES
from baobabgap.jobmodel._crashes import weigh_crash
from baobabgap.jobmodel._model import AcceptedJob
from baobabgap.jobmodel._model import Demand
from baobabgap.jobmodel._model import JobState
from baobabgap.jobmodel._model import RunEnd
from baobabgap.jobmodel._model import Step
from baobabgap.jobmodel._model import TaskEnd
from baobabgap.jobmodel._model import TaskId

__all__ = [
    'AcceptedJob',
    'CrashEvidence',
    'Demand',
    'is_given_up',
    'JobState',
    'must_run_alone',
    'RunEnd',
    'Step',
    'TaskEnd',
    'TaskId',
    'UPSTREAM_CRASHES',
    'weigh_crash',
]
