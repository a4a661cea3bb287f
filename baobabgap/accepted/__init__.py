"""Replicated state of durably accepted jobs and of the configuration."""

from baobabgap.accepted._commands import AcceptJobs
from baobabgap.accepted._commands import BeginEvacuation
from baobabgap.accepted._commands import CancelAccepted
from baobabgap.accepted._commands import DismissMembers
from baobabgap.accepted._commands import EndEvacuation
from baobabgap.accepted._commands import EnrolMembers
from baobabgap.accepted._commands import NoteEnds
from baobabgap.accepted._commands import PutConfiguration
from baobabgap.accepted._crashes import CrashEvidence
from baobabgap.accepted._crashes import is_given_up
from baobabgap.accepted._crashes import must_run_alone
from baobabgap.accepted._crashes import UPSTREAM_CRASHES
from baobabgap.accepted._crashes import weigh_crash
from baobabgap.accepted._evacuations import ZoneState
from baobabgap.accepted._model import AcceptedJob
from baobabgap.accepted._model import Demand
from baobabgap.accepted._model import JobState
from baobabgap.accepted._model import RunEnd
from baobabgap.accepted._model import Step
from baobabgap.accepted._model import TaskEnd
from baobabgap.accepted._model import TaskId
from baobabgap.accepted._state import AcceptedState
from baobabgap.accepted._state import JobEnd
from baobabgap.accepted._state import UnfinishedJob

__all__ = [
    'AcceptedJob',
    'AcceptedState',
    'AcceptJobs',
    'BeginEvacuation',
    'CancelAccepted',
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
