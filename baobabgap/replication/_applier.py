"""The task that feeds the state machine and takes its snapshots."""

from concurrent.futures import Executor
from concurrent.futures import Future
from typing import Any
from typing import Final

from baobabgap.replication._entry import Entry
from baobabgap.replication._entry import EntryKind
from baobabgap.replication._errors import StorageUnavailable
from baobabgap.replication._limits import LogLimits
from baobabgap.replication._machine import StateMachine
from baobabgap.replication._membership import Membership
from baobabgap.replication._reads import ReadBarriers
from baobabgap.replication._snapshot import Snapshot
from baobabgap.replication._state import GroupState
from baobabgap.replication._storage import Storage
from baobabgap.replication._window import EntryWindow
from baobabgap.replication._writer import LogWriter
from baobabgap.telemetry import log_event

_LARGEST_STEP_BYTES: Final = 1024 * 1024


class Applier:
    """Applies committed commands in order and resolves their futures.

    It also completes read barriers and, once enough was applied, has a
    snapshot saved and the log compacted.
    """

    def __init__(
        self,
        state: GroupState,
        machine: StateMachine,
        storage: Storage,
        writer: LogWriter,
        limits: LogLimits,
        reads: ReadBarriers,
        pool: Executor,
    ) -> None:
        self._state: Final = state
        self._machine: Final = machine
        self._storage: Final = storage
        self._writer: Final = writer
        self._limits: Final = limits
        self._reads: Final = reads
        self._pool: Final = pool
        self._restoring = storage.recovered.snapshot
        self._bytes_since_snapshot = 0
        self._last_snapshot_bytes = 0
        self._saving = False

    def install(self, snapshot: Snapshot) -> None:
        """Go on from a leader's snapshot; the lock is held."""
        state = self._state
        window = state.window
        agrees = (
            window.has_term_of(snapshot.index)
            and window.term_at(snapshot.index) == snapshot.term
        )
        if agrees:
            window.compact(snapshot.index)
        else:
            state.window = EntryWindow(
                snapshot.index,
                snapshot.term,
                Membership.from_bytes(snapshot.membership),
                (),
            )
            state.unwritten = []
            state.durable = 0
        self._restoring = snapshot
        state.advance_commit(snapshot.index)

    def run(self) -> None:
        """Apply until stopped."""
        while True:
            with self._state.lock:
                if not self._wait_for_work():
                    return
                restoring = self._restoring
                self._restoring = None
                entries = [] if restoring else self._next_entries()
            if restoring is not None:
                self._restore(restoring)
            else:
                self._apply(entries)
            self._reads.complete_applied()
            self._save_snapshot_if_due()

    def _wait_for_work(self) -> bool:
        """Wait, with the lock held; tell whether there is work."""
        state = self._state
        while True:
            if self._restoring is not None or state.applied < state.commit:
                return True
            if self._reads.has_applied():
                return True
            if state.stopping:
                return False
            state.applier_work.wait()

    def _next_entries(self) -> list[Entry]:
        state = self._state
        if state.applied >= state.commit:
            return []
        return state.window.entries_from(
            state.applied + 1, _LARGEST_STEP_BYTES, state.commit
        )

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.index, snapshot.state)
        log_event('snapshot_restored', index=snapshot.index)
        self._bytes_since_snapshot = 0
        self._last_snapshot_bytes = len(snapshot.state)
        with self._state.lock:
            self._state.applied = snapshot.index

    def _apply(self, entries: list[Entry]) -> None:
        for entry in entries:
            result: Any = None
            failure: Exception | None = None
            if entry.kind is EntryKind.COMMAND:
                try:
                    result = self._machine.apply(entry.index, entry.data)
                except Exception as error:
                    # Deterministic, so every host sees the same failure.
                    failure = error
            self._bytes_since_snapshot += entry.encoded_bytes
            with self._state.lock:
                self._state.applied = entry.index
                future = self._state.future_by_index.pop(entry.index, None)
            _resolve(future, result, failure)

    def _save_snapshot_if_due(self) -> None:
        due_at = max(
            self._limits.snapshot_after_bytes, self._last_snapshot_bytes
        )
        if self._bytes_since_snapshot < due_at or self._saving:
            return
        state = self._state
        with state.lock:
            index = state.applied
            if index < state.window.compacted_index:
                return
            term = state.window.term_at(index)
            membership = state.window.membership_at(index).to_bytes()
        snapshot = Snapshot(index, term, membership, self._machine.snapshot())
        self._bytes_since_snapshot = 0
        self._last_snapshot_bytes = len(snapshot.state)
        self._saving = True
        self._pool.submit(self._save_snapshot, snapshot)

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        try:
            self._storage.save_snapshot(snapshot)
            with self._state.lock:
                window = self._state.window
                if window.has_term_of(snapshot.index):
                    window.compact(
                        window.kept_after(
                            snapshot.index, self._limits.kept_bytes
                        )
                    )
                    self._writer.request_rewrite()
            log_event('snapshot_saved', index=snapshot.index)
        except StorageUnavailable as error:
            log_event('snapshot_not_saved', reason=str(error))
        finally:
            self._saving = False


def _resolve(
    future: Future[Any] | None, result: Any, failure: Exception | None
) -> None:
    if future is None:
        return
    if failure is not None:
        future.set_exception(failure)
    else:
        future.set_result(result)
