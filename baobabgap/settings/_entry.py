"""Settings of the entry role."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import ConfigDict
from pydantic import Field


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """How an entry serves callers."""

    __pydantic_config__ = ConfigDict(extra='forbid')

    # Threads that serve HTTP. An eighth of them is kept for the balancer,
    # cancels and operators; on each other one a request may wait.
    http_threads: Annotated[int, Field(ge=4, le=4096)] = 256
    # The largest accepted request body, in bytes.
    largest_body_bytes: Annotated[int, Field(ge=1024)] = 8 * 1024 * 1024
    # Ended jobs whose answers are kept for resubmissions.
    kept_answers: Annotated[int, Field(ge=0)] = 20_000
    # Task values in all kept answers together.
    kept_values: Annotated[int, Field(ge=0)] = 200_000
    # Seconds between the balancer's check turning red and the last
    # accepted job of a planned stop.
    drain_grace_s: Annotated[float, Field(ge=0, le=600)] = 2.0
    # Seconds after which a planned stop gives up on work in progress.
    drain_limit_s: Annotated[float, Field(gt=0, le=3600)] = 60.0
    # Seconds for which a job waits for an agent whose link was lost
    # before its tasks there count as lost.
    agent_return_s: Annotated[float, Field(gt=0, le=600)] = 5.0
    # Seconds for which a resubmission waits for the link to the entry
    # that owns the job.
    owner_return_s: Annotated[float, Field(gt=0, le=600)] = 3.0
    # Seconds for which a slow upstream is avoided before one task tries
    # it again; doubles with each failed try.
    suspension_s: Annotated[float, Field(gt=0, le=600)] = 5.0

    @property
    def waiting_requests(self) -> int:
        """How many requests may wait for the answer of a job at once."""
        return self.http_threads - max(1, self.http_threads // 8)
