"""Records of callers and operators.

Times are seconds on the monotonic clock."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import threading

from baobabgap.protocol import CallOutcome
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
    """One attempt to put a configuration."""

    version: int
    answered_at: float
    is_acknowledged: bool


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """The version in force, as a control host answered."""

    asked_at: float
    version: int


@dataclass(frozen=True, slots=True)
class ZoneOrder:
    """One attempt to begin or end the evacuation of a zone."""

    zone: str
    is_begin: bool
    asked_at: float
    answered_at: float
    is_acknowledged: bool


@dataclass(slots=True)
class JobHistory:
    """All records of one run."""

    tasks_by_job: dict[str, int] = field(default_factory=dict)
    stored_jobs: set[str] = field(default_factory=set)
    calls: list[Called] = field(default_factory=list)
    puts: list[Put] = field(default_factory=list)
    reads: list[ConfigurationRead] = field(default_factory=list)
    zone_orders: list[ZoneOrder] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    # Stored jobs' states after the run, empty without an answer.
    final_states: dict[str, str] = field(default_factory=dict)
    # Whether a new job was served after all faults.
    has_recovered: bool = False
    # The number of injected faults by kind.
    fault_counts: dict[str, int] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def add(
        self, record: Called | Put | ConfigurationRead | ZoneOrder
    ) -> None:
        """Add a record; thread-safe."""
        with self._lock:
            match record:
                case Called():
                    self.calls.append(record)
                case Put():
                    self.puts.append(record)
                case ConfigurationRead():
                    self.reads.append(record)
                case ZoneOrder():
                    self.zone_orders.append(record)

    def calls_of(self, job: str, verb: str) -> Iterable[Called]:
        """Return the calls of one kind about a job."""
        return [
            call
            for call in self.calls
            if call.job == job and call.verb == verb
        ]
