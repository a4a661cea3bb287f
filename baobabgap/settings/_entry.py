"""Settings of the entry role."""

from dataclasses import dataclass
from typing import Annotated

from baobabgap.settings._limits import Limits
from baobabgap.settings._limits import NO_OTHER_KEYS


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """How an entry serves clients."""

    __pydantic_config__ = NO_OTHER_KEYS

    # Threads that serve HTTP. One eighth of them is reserved for the load
    # balancer, cancellations and operators; each of the others may block
    # while a request waits for its answer.
    http_threads: Annotated[int, Limits(ge=4, le=4096)] = 256
    # Maximum size of a request body, in bytes.
    largest_body_bytes: Annotated[int, Limits(ge=1024)] = 8 * 1024 * 1024
    # Maximum number of ended jobs whose answers are kept for
    # resubmissions.
    kept_answers: Annotated[int, Limits(ge=0)] = 20_000
    # Maximum number of task values over all kept answers.
    kept_values: Annotated[int, Limits(ge=0)] = 200_000
    # Seconds for which a process that shuts down still accepts jobs after
    # the load balancer's health check starts to fail.
    drain_grace_s: Annotated[float, Limits(ge=0, le=600)] = 2.0
    # Seconds after which a shutdown abandons work in progress.
    drain_limit_s: Annotated[float, Limits(gt=0, le=3600)] = 60.0
    # Seconds for which a job waits for an agent whose link was lost to
    # reconnect; after that its tasks there count as lost.
    agent_return_s: Annotated[float, Limits(gt=0, le=600)] = 5.0
    # Seconds for which a resubmission waits for the link to the entry
    # that owns the job.
    owner_return_s: Annotated[float, Limits(gt=0, le=600)] = 3.0
    # Seconds for which a slow upstream is suspended before one task probes
    # it; doubles with each failed probe.
    suspension_s: Annotated[float, Limits(gt=0, le=600)] = 5.0

    @property
    def max_waiting_requests(self) -> int:
        """How many requests may wait for answers of jobs at the same time."""
        return self.http_threads - max(1, self.http_threads // 8)
