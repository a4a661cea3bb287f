"""The leases under which a stand-in upstream runs its tasks."""

from collections import Counter
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
import threading
import time
from typing import Any
from typing import Final

# Ended leases without acknowledgement that are kept for the agent.
_MAX_ENDED_LEASES: Final = 20_000


class LeaseState(StrEnum):
    """The state of a lease."""

    RUNNING = 'running'
    # Returned a value.
    DONE = 'done'
    # Ran and reported an error.
    FAILED = 'failed'
    # Was stopped at the agent's request after it started.
    STOPPED = 'stopped'
    # Was stopped because it was not renewed in time.
    LAPSED = 'lapsed'
    # Was stopped before it started, and can never start.
    REVOKED = 'revoked'


@dataclass(slots=True)
class Lease:
    """One task that runs, or ran, at the upstream."""

    # The job's and the task's identifiers, with a slash between.
    identifier: str
    # The owner of the task; opaque to the upstream.
    owner: str
    # When the task started, in seconds of the monotonic clock.
    started_at: float
    # When the run time of the task is over, on the same clock.
    ends_at: float
    # When the lease lapses unless renewed, on the same clock.
    lapses_at: float
    # The current state.
    state: LeaseState = LeaseState.RUNNING
    # The value that the task returned, or the reason why there is none.
    value: Any = None
    # Milliseconds from start to end.
    run_time_ms: float = 0.0
    # Set after any change, to wake the thread that runs the task.
    changed: threading.Event = field(default_factory=threading.Event)
    # Set at the end, to wake requests that joined the lease.
    ended: threading.Event = field(default_factory=threading.Event)

    def as_document(self) -> dict[str, Any]:
        """Return the lease as a JSON document."""
        return {
            'lease': self.identifier,
            'owner': self.owner,
            'state': self.state.value,
            'value': self.value,
            'run_time_ms': self.run_time_ms,
        }


class LeaseTable:
    """All leases of one stand-in upstream, with its own count of starts."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._lock = threading.Lock()
        self._lease_by_id: dict[str, Lease] = {}
        self._running_ids: set[str] = set()
        self._ended_ids: OrderedDict[str, None] = OrderedDict()
        self._starts_by_id: Counter[str] = Counter()
        self._dropped_unacknowledged = False
        self.repeated_requests = 0
        self.renewals = 0
        self.maximum_running = 0

    @property
    def running(self) -> int:
        """The number of running tasks."""
        return len(self._running_ids)

    def open(
        self, identifier: str, owner: str, lease_s: float, forgetful: bool
    ) -> tuple[Lease | None, bool]:
        """Start a lease, or return the existing one.

        Returns the lease and whether it is new, or None if all slots are
        taken. `lease_s` is the time in seconds until the lease lapses;
        `forgetful` starts an existing lease again.
        """
        now = time.monotonic()
        with self._lock:
            existing_lease = self._lease_by_id.get(identifier)
            if existing_lease is not None:
                self.repeated_requests += 1
                if not forgetful:
                    return existing_lease, False
            if len(self._running_ids) >= self._slots:
                return None, False
            lease = Lease(identifier, owner, now, now, now + lease_s)
            self._lease_by_id[identifier] = lease
            self._running_ids.add(identifier)
            self._starts_by_id[identifier] += 1
            self.maximum_running = max(self.maximum_running, self.running)
            return lease, True

    def run(self, lease: Lease, run_time_s: float) -> LeaseState:
        """Wait for the run time of the task; return the resulting state."""
        lease.ends_at = lease.started_at + run_time_s
        while lease.state is LeaseState.RUNNING:
            now = time.monotonic()
            if now >= lease.ends_at:
                return LeaseState.DONE
            if now >= lease.lapses_at:
                return LeaseState.LAPSED
            lease.changed.wait(min(lease.ends_at, lease.lapses_at) - now)
            lease.changed.clear()
        return lease.state

    def close(self, lease: Lease, state: LeaseState, value: Any) -> None:
        """Record the end of a lease unless it has already ended."""
        with self._lock:
            self._close(lease, state, value)

    def renew(
        self, identifiers: Iterable[str], lease_s: float
    ) -> dict[str, Any]:
        """Extend running leases and return the state of each."""
        now = time.monotonic()
        running: list[str] = []
        ended: list[dict[str, Any]] = []
        unknown: list[str] = []
        with self._lock:
            self.renewals += 1
            for identifier in identifiers:
                lease = self._lease_by_id.get(identifier)
                if lease is None:
                    unknown.append(identifier)
                elif lease.state is LeaseState.RUNNING:
                    lease.lapses_at = now + lease_s
                    running.append(identifier)
                else:
                    ended.append(lease.as_document())
        return {'running': running, 'ended': ended, 'unknown': unknown}

    def stop(self, identifiers: Iterable[str]) -> list[dict[str, Any]]:
        """Stop running leases; revoke unknown ones so they never start."""
        leases = []
        with self._lock:
            for identifier in identifiers:
                lease = self._lease_by_id.get(identifier)
                if lease is None:
                    lease = Lease(identifier, '', 0.0, 0.0, 0.0)
                    self._lease_by_id[identifier] = lease
                    self._close(lease, LeaseState.REVOKED, 'never started')
                elif lease.state is LeaseState.RUNNING:
                    self._close(lease, LeaseState.STOPPED, 'stopped')
                leases.append(lease.as_document())
        return leases

    def throttle(self, identifiers: Iterable[str], share: float) -> None:
        """Slow running tasks down to a share of their speed."""
        now = time.monotonic()
        with self._lock:
            for identifier in identifiers:
                lease = self._lease_by_id.get(identifier)
                if lease is not None and lease.state is LeaseState.RUNNING:
                    remaining_s = max(0.0, lease.ends_at - now)
                    lease.ends_at = now + remaining_s / share
                    lease.changed.set()

    def checkpoint(self, identifiers: Iterable[str]) -> dict[str, float]:
        """Return the completed share of each running task, from 0 to 1."""
        now = time.monotonic()
        progress_by_lease = {}
        with self._lock:
            for identifier in identifiers:
                lease = self._lease_by_id.get(identifier)
                if lease is not None and lease.state is LeaseState.RUNNING:
                    total_s = max(lease.ends_at - lease.started_at, 1e-9)
                    done_s = now - lease.started_at
                    progress_by_lease[identifier] = min(1.0, done_s / total_s)
        return progress_by_lease

    def acknowledge(self, identifiers: Iterable[str]) -> None:
        """Forget ended leases whose results the agent no longer needs."""
        with self._lock:
            for identifier in identifiers:
                if identifier in self._ended_ids:
                    del self._ended_ids[identifier]
                    del self._lease_by_id[identifier]

    def listing(self) -> dict[str, Any]:
        """Return all leases, and whether none was dropped unacknowledged."""
        with self._lock:
            return {
                'leases': [
                    lease.as_document() for lease in self._lease_by_id.values()
                ],
                'complete': not self._dropped_unacknowledged,
            }

    def counts(self) -> dict[str, Any]:
        """Return the upstream's own count of starts."""
        with self._lock:
            starts = self._starts_by_id.total()
            return {
                'starts': starts,
                'duplicates': starts - len(self._starts_by_id),
                'started': [
                    identifier.split('/', 1)
                    for identifier in self._starts_by_id
                ],
                'starts_of_repeated': {
                    identifier: times
                    for identifier, times in self._starts_by_id.items()
                    if times > 1
                },
                'repeated_requests': self.repeated_requests,
                'renewals': self.renewals,
                'maximum_running': self.maximum_running,
            }

    def _close(self, lease: Lease, state: LeaseState, value: Any) -> None:
        if lease.state is not LeaseState.RUNNING:
            return
        lease.state = state
        lease.value = value
        if lease.started_at:
            lease.run_time_ms = (time.monotonic() - lease.started_at) * 1000
        self._running_ids.discard(lease.identifier)
        self._ended_ids[lease.identifier] = None
        lease.changed.set()
        lease.ended.set()
        if len(self._ended_ids) > _MAX_ENDED_LEASES:
            oldest, _ = self._ended_ids.popitem(last=False)
            del self._lease_by_id[oldest]
            self._dropped_unacknowledged = True
