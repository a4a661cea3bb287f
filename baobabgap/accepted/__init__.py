"""Replicated state of durably accepted jobs and of the configuration."""

from baobabgap.accepted._commands import AcceptJobs
from baobabgap.accepted._commands import BeginEvacuation
from baobabgap.accepted._commands import CancelAccepted
from baobabgap.accepted._commands import CancelVolatile
from baobabgap.accepted._commands import DismissMembers
from baobabgap.accepted._commands import EndEvacuation
from baobabgap.accepted._commands import EnrolMembers
from baobabgap.accepted._commands import NoteEnds
from baobabgap.accepted._commands import PutConfiguration
from baobabgap.accepted._evacuations import ZoneState
from baobabgap.accepted._state import AcceptedState
from baobabgap.accepted._state import JobEnd
from baobabgap.accepted._state import UnfinishedJob
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
    'AcceptedState',
    'AcceptJobs',
    'BeginEvacuation',
    'CancelAccepted',
    'CancelVolatile',
    'CrashEvidence',
    'Demand',
    'DismissMembers',
    'EndEvacuation',
    'EnrolMembers',
    'is_given_up',
    'JobEnd',
    'JobState',
    'must_run_alone',
    'NoteEnds',
    'PutConfiguration',
    'RunEnd',
    'Step',
    'TaskEnd',
    'TaskId',
    'UnfinishedJob',
    'UPSTREAM_CRASHES',
    'weigh_crash',
    'ZoneState',
]
