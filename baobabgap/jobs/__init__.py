"""Jobs in the client API: identifier, submission and answer."""

from baobabgap.jobs._answer import FailureCode
from baobabgap.jobs._answer import JobAnswer
from baobabgap.jobs._answer import JobFailure
from baobabgap.jobs._answer import Ran
from baobabgap.jobs._answer import TaskAnswer
from baobabgap.jobs._identifier import JobIdentifier
from baobabgap.jobs._submission import JobSubmission
from baobabgap.jobs._submission import MAXIMUM_TASKS
from baobabgap.jobs._submission import TaskSize
from baobabgap.jobs._submission import TaskSubmission

__all__ = [
    'FailureCode',
    'JobAnswer',
    'JobFailure',
    'JobIdentifier',
    'JobSubmission',
    'MAXIMUM_TASKS',
    'Ran',
    'TaskAnswer',
    'TaskSize',
    'TaskSubmission',
]
