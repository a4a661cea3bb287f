"""What callers and operators have seen; times are monotonic seconds."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import threading

from baobabgap.dispatch import CallOutcome
from tools.job_history._recorded_upstream import RunRecord


@dataclass(frozen=True, slots=True)
class Called:
    """One call about a job and its answer."""

    # `submit`, `read` or `cancel`.
    verb: str
    job: str
    asked_at: float
    answered_at: float
    outcome: CallOutcome
    state: str


@dataclass(frozen=True, slots=True)
class Put:
    """A configuration was handed in, and acknowledged or not."""

    version: int
    answered_at: float
    is_acknowledged: bool


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A control host has said which version is in force."""

    asked_at: float
    version: int


@dataclass(slots=True)
class JobHistory:
    """Everything that is checked afterwards."""

    tasks_by_job: dict[str, int] = field(default_factory=dict)
    stored_jobs: set[str] = field(default_factory=set)
    calls: list[Called] = field(default_factory=list)
    puts: list[Put] = field(default_factory=list)
    reads: list[ConfigurationRead] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    # Stored jobs' states at the end, empty if there was no answer.
    final_states: dict[str, str] = field(default_factory=dict)
    # Whether a new job was served after all faults.
    has_recovered: bool = False
    # How many faults of each kind were done.
    fault_counts: dict[str, int] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, record: Called | Put | ConfigurationRead) -> None:
        """Keep a record; may be called by any thread."""
        with self._lock:
            match record:
                case Called():
                    self.calls.append(record)
                case Put():
                    self.puts.append(record)
                case ConfigurationRead():
                    self.reads.append(record)

    def calls_of(self, job: str, verb: str) -> Iterable[Called]:
        """Return the calls of one kind about a job."""
        return [
            call
            for call in self.calls
            if call.job == job and call.verb == verb
        ]
