"""The task that writes the log; one sync covers all queued entries."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from baobabgap.replication._entry import Entry
from baobabgap.replication._errors import StorageUnavailable
from baobabgap.replication._state import do_nothing
from baobabgap.replication._state import GroupState
from baobabgap.replication._storage import Storage
from baobabgap.telemetry import log_event

_PAUSE_AFTER_FAILURE_S: Final = 0.5


@dataclass(frozen=True, slots=True)
class _Callback:
    """What waits for a sync; the lock is held for each call."""

    # Called once the data is durable.
    on_durable: Callable[[], None]
    # Called instead if a write or the sync has failed.
    on_failure: Callable[[], None]


@dataclass(frozen=True, slots=True)
class _Batch:
    """The content of one write and sync."""

    # The term and the vote to store.
    term: int
    vote: str
    # New entries, or all entries if `rewrite`.
    entries: tuple[Entry, ...]
    # Whether there is anything to write.
    has_changes: bool
    # Whether to rewrite the whole log.
    rewrite: bool
    # The index before the first entry, if `rewrite`.
    compacted_index: int
    # What to call once the batch is durable, or after a failure.
    callbacks: tuple[_Callback, ...]


class LogWriter:
    """Syncs entries, term and vote, and then runs callbacks.

    Acknowledgements are sent only by these callbacks. If a write or sync
    fails, the callbacks are dropped, those who wait are told, this host
    steps down, and rewriting the whole log is retried until it succeeds.
    """

    def __init__(self, state: GroupState, storage: Storage) -> None:
        self._state = state
        self._storage = storage
        self._callback_by_key: dict[str, _Callback] = {}
        self._rewrite_wanted = False
        self._is_writing = False

    def after_sync(
        self,
        key: str,
        callback: Callable[[], None],
        on_failure: Callable[[], None] = do_nothing,
    ) -> None:
        """Call back, with the lock held, once all queued data is durable.

        A callback replaces a pending one with the same key. If there is
        nothing to sync, it is called immediately. If a write or sync fails,
        `on_failure` is called instead.
        """
        if not self._has_work() and not self._is_writing:
            if self._state.storage_ok:
                callback()
            else:
                on_failure()
            return
        self._callback_by_key[key] = _Callback(callback, on_failure)
        self._state.writer_work.notify()

    def request_rewrite(self) -> None:
        """Have the whole log rewritten, for example after a compaction."""
        self._rewrite_wanted = True
        self._state.writer_work.notify()

    def run(self) -> None:
        """Write until the host stops and no work is left."""
        while True:
            batch = self._next_batch()
            if batch is None:
                return
            self._write(batch)

    def _has_work(self) -> bool:
        return bool(
            self._state.unwritten_entries
            or self._state.vote_unwritten
            or self._rewrite_wanted
        )

    def _next_batch(self) -> _Batch | None:
        state = self._state
        with state.lock:
            while not self._has_work() and not self._callback_by_key:
                if state.stopping:
                    return None
                state.writer_work.wait()
            if state.stopping and not state.storage_ok:
                return None
            rewrite = self._rewrite_wanted
            entries = tuple(state.unwritten_entries)
            if rewrite:
                entries = state.window.all_entries()
            batch = _Batch(
                state.term,
                state.vote,
                entries,
                self._has_work(),
                rewrite,
                state.window.compacted_index,
                tuple(self._callback_by_key.values()),
            )
            state.unwritten_entries = []
            state.vote_unwritten = False
            self._rewrite_wanted = False
            self._callback_by_key = {}
            self._is_writing = True
        return batch

    def _write(self, batch: _Batch) -> None:
        try:
            if batch.rewrite:
                self._storage.rewrite(
                    batch.term,
                    batch.vote,
                    batch.compacted_index,
                    batch.entries,
                )
            elif batch.has_changes:
                self._storage.append(batch.term, batch.vote, batch.entries)
        except StorageUnavailable as error:
            self._handle_failure(error, batch)
            return
        with self._state.lock:
            self._is_writing = False
            if not self._state.storage_ok:
                log_event('storage_recovered')
            self._state.storage_ok = True
            self._state.durable_term = batch.term
            self._advance_durable_index(batch)
            for callback in batch.callbacks:
                callback.on_durable()
            self._state.commit_by_quorum()

    def _handle_failure(
        self, error: StorageUnavailable, batch: _Batch
    ) -> None:
        with self._state.lock:
            self._is_writing = False
            if self._state.storage_ok:
                log_event('storage_failed', reason=str(error))
            self._state.storage_ok = False
            self._rewrite_wanted = True
            dropped = (*batch.callbacks, *self._callback_by_key.values())
            self._callback_by_key = {}
            self._state.step_down('storage failed')
            for callback in dropped:
                callback.on_failure()
            if not self._state.stopping:
                self._state.writer_work.wait(_PAUSE_AFTER_FAILURE_S)

    def _advance_durable_index(self, batch: _Batch) -> None:
        """Advance the durable index, unless entries were since dropped."""
        window = self._state.window
        if batch.rewrite and batch.compacted_index == window.compacted_index:
            self._state.durable_index = max(
                self._state.durable_index, batch.compacted_index
            )
        for entry in reversed(batch.entries):
            if not window.has_term_of(entry.index):
                continue
            if window.term_at(entry.index) == entry.term:
                self._state.durable_index = max(
                    self._state.durable_index, entry.index
                )
                return
