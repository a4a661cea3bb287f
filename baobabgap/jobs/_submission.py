"""A client's submission: a job of 1 to 1000 short tasks."""

from dataclasses import dataclass
import hashlib
from typing import Annotated
from typing import Any
from typing import Final

import cbor2
from pydantic import ConfigDict
from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

from baobabgap._exceptions import InvalidInput
from baobabgap.jobs._identifier import JobIdentifier

MAXIMUM_TASKS: Final = 1000
MAXIMUM_DEADLINE_MS: Final = 600_000
MAXIMUM_RUN_TIME_MS: Final = 600_000

_STRICT: Final = ConfigDict(extra='forbid')

Name = Annotated[str, Field(pattern=r'^[A-Za-z0-9][A-Za-z0-9_.:-]{0,79}$')]


@dataclass(frozen=True, slots=True)
class TaskSize:
    """The resources that a client declares for one task."""

    __pydantic_config__ = _STRICT

    # Processor cores, fractions allowed.
    processors: Annotated[float, Field(ge=0)] = 1.0
    # Memory in mebibytes.
    memory_mb: Annotated[int, Field(ge=0, strict=True)] = 64
    # Whole accelerators.
    accelerators: Annotated[int, Field(ge=0, strict=True)] = 0

    def fits_in(self, other: 'TaskSize') -> bool:
        """Return whether a task of this size fits into `other`."""
        return (
            self.processors <= other.processors
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )


@dataclass(frozen=True, slots=True)
class TaskSubmission:
    """One task of a job, as its client declares it."""

    __pydantic_config__ = _STRICT

    # Unique within the job.
    identifier: Name
    # The kind of work; run times are learned for each kind.
    kind: Name
    # Passed to the upstream unchanged: any JSON value.
    payload: Any = None
    # Declared run time in milliseconds; often far from accurate.
    run_time_ms: Annotated[
        int, Field(gt=0, le=MAXIMUM_RUN_TIME_MS, strict=True)
    ] = 100
    # Declared resources.
    size: TaskSize = TaskSize()


@dataclass(frozen=True, slots=True)
class JobSubmission:
    """A validated job, as a client submitted it.

    Create one from decoded JSON with `from_document`.
    """

    __pydantic_config__ = _STRICT

    # See `JobIdentifier`; the client's name is its first part.
    identifier: str
    # The team whose quota the job counts against.
    team: Name
    # Milliseconds from now within which the client wants the answer.
    deadline_ms: Annotated[
        int, Field(gt=0, le=MAXIMUM_DEADLINE_MS, strict=True)
    ]
    # Between one and `MAXIMUM_TASKS` tasks with unique identifiers.
    tasks: Annotated[
        tuple[TaskSubmission, ...],
        Field(min_length=1, max_length=MAXIMUM_TASKS),
    ]
    # Whether the client declares that a task may safely run twice.
    idempotent: Annotated[bool, Field(strict=True)] = False

    @classmethod
    def from_document(cls, document: object) -> 'JobSubmission':
        """Validate a decoded JSON document into a submission.

        Raises `InvalidInput` that names the first few invalid fields.
        """
        try:
            submission = _SUBMISSION_ADAPTER.validate_python(document)
        except ValidationError as error:
            raise InvalidInput(
                _describe_errors(error), step='submit'
            ) from error
        JobIdentifier.from_text(submission.identifier)
        _require_unique_tasks(submission.tasks)
        return submission

    @property
    def client(self) -> str:
        """The name of the client, taken from the identifier."""
        return JobIdentifier.from_text(self.identifier).client

    def digest(self) -> bytes:
        """Return a 16-byte digest of the content, without the deadline.

        A client that resubmits a job has less time left, but it is still
        the same job.
        """
        content = _SUBMISSION_ADAPTER.dump_python(
            self, exclude={'deadline_ms'}
        )
        packed = cbor2.dumps(content, canonical=True)
        return hashlib.blake2b(packed, digest_size=16).digest()


def _require_unique_tasks(tasks: tuple[TaskSubmission, ...]) -> None:
    seen: set[str] = set()
    for task in tasks:
        if task.identifier in seen:
            raise InvalidInput(
                f'tasks: identifier {task.identifier!r} is used twice; '
                'each task of a job needs its own',
                step='submit',
            )
        seen.add(task.identifier)


def _describe_errors(error: ValidationError) -> str:
    """Describe the errors of the first few invalid fields."""
    reasons = []
    for detail in error.errors(include_url=False, include_input=False)[:5]:
        location = '.'.join(str(part) for part in detail['loc']) or 'job'
        reasons.append(f'{location}: {detail["msg"]}')
    return '; '.join(reasons)


_SUBMISSION_ADAPTER: Final = TypeAdapter(JobSubmission)
