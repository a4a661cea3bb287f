"""The task that applies entries and saves snapshots."""

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

_LARGEST_BATCH_BYTES: Final = 1024 * 1024


class Applier:
    """Applies committed commands in order and resolves their futures.

    It also completes read barriers, and saves a snapshot and compacts the
    log whenever enough entries have been applied.
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
        self._snapshot_to_restore = storage.recovered.snapshot
        self._bytes_since_snapshot = 0
        self._last_snapshot_bytes = 0
        self._is_saving = False

    def install(self, snapshot: Snapshot) -> None:
        """Replace the state by a leader's snapshot; the lock is held."""
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
            state.unwritten_entries = []
            state.durable_index = 0
        self._snapshot_to_restore = snapshot
        state.advance_commit(snapshot.index)

    def run(self) -> None:
        """Apply entries until the host stops."""
        while True:
            with self._state.lock:
                if not self._wait_for_work():
                    return
                to_restore = self._snapshot_to_restore
                self._snapshot_to_restore = None
                entries = [] if to_restore else self._next_entries()
            if to_restore is not None:
                self._restore(to_restore)
            else:
                self._apply(entries)
            self._reads.complete_ready()
            self._save_snapshot_if_due()

    def _wait_for_work(self) -> bool:
        """Wait for work with the lock held; return False on a stop."""
        state = self._state
        while True:
            if (
                self._snapshot_to_restore is not None
                or state.applied_index < state.commit_index
            ):
                return True
            if self._reads.has_ready():
                return True
            if state.stopping:
                return False
            state.applier_work.wait()

    def _next_entries(self) -> list[Entry]:
        state = self._state
        if state.applied_index >= state.commit_index:
            return []
        return state.window.entries_from(
            state.applied_index + 1, _LARGEST_BATCH_BYTES, state.commit_index
        )

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.index, snapshot.state)
        log_event('snapshot_restored', index=snapshot.index)
        self._bytes_since_snapshot = 0
        self._last_snapshot_bytes = len(snapshot.state)
        with self._state.lock:
            self._state.applied_index = snapshot.index

    def _apply(self, entries: list[Entry]) -> None:
        for entry in entries:
            result: Any = None
            failure: Exception | None = None
            if entry.kind is EntryKind.COMMAND:
                try:
                    result = self._machine.apply(entry.index, entry.data)
                except Exception as error:
                    # Commands are deterministic: they fail on every host.
                    failure = error
            self._bytes_since_snapshot += entry.encoded_bytes
            with self._state.lock:
                self._state.applied_index = entry.index
                future = self._state.future_by_index.pop(entry.index, None)
            _resolve(future, result, failure)

    def _save_snapshot_if_due(self) -> None:
        threshold_bytes = max(
            self._limits.snapshot_after_bytes, self._last_snapshot_bytes
        )
        if self._bytes_since_snapshot < threshold_bytes or self._is_saving:
            return
        state = self._state
        with state.lock:
            index = state.applied_index
            if index < state.window.compacted_index:
                return
            term = state.window.term_at(index)
            membership = state.window.membership_at(index).to_bytes()
        snapshot = Snapshot(index, term, membership, self._machine.snapshot())
        self._bytes_since_snapshot = 0
        self._last_snapshot_bytes = len(snapshot.state)
        self._is_saving = True
        self._pool.submit(self._save_snapshot, snapshot)

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        try:
            self._storage.save_snapshot(snapshot)
            with self._state.lock:
                window = self._state.window
                if window.has_term_of(snapshot.index):
                    window.compact(
                        window.compaction_index(
                            snapshot.index, self._limits.kept_bytes
                        )
                    )
                    self._writer.request_rewrite()
            log_event('snapshot_saved', index=snapshot.index)
        except StorageUnavailable as error:
            log_event('snapshot_not_saved', reason=str(error))
        except Exception as error:
            # The log is kept, so that the next snapshot covers its entries.
            log_event('snapshot_not_saved', reason=repr(error))
        finally:
            self._is_saving = False


def _resolve(
    future: Future[Any] | None, result: Any, failure: Exception | None
) -> None:
    if future is None:
        return
    if failure is not None:
        future.set_exception(failure)
    else:
        future.set_result(result)
