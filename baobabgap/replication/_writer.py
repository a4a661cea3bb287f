"""The task that writes the log: all that waits goes in one sync."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from baobabgap.replication._entry import Entry
from baobabgap.replication._errors import StorageUnavailable
from baobabgap.replication._state import GroupState
from baobabgap.replication._storage import Storage
from baobabgap.telemetry import log_event

_PAUSE_AFTER_FAILURE_S: Final = 0.5


@dataclass(frozen=True, slots=True)
class _Batch:
    """What goes to the disk together."""

    # The term and the vote to remember.
    term: int
    vote: str
    # New entries, or all entries if `rewrite`.
    entries: tuple[Entry, ...]
    # Whether there is anything to write.
    needed: bool
    # Whether the whole log is written anew.
    rewrite: bool
    # The point before the first entry, if `rewrite`.
    compacted_index: int
    # Called once the batch is durable.
    callbacks: tuple[Callable[[], None], ...]


class LogWriter:
    """Syncs entries, term and vote, and then runs callbacks.

    Nothing is acknowledged but by these callbacks. If the disk fails,
    they are dropped, this host stands down, and the whole log is written
    anew until that succeeds.
    """

    def __init__(self, state: GroupState, storage: Storage) -> None:
        self._state = state
        self._storage = storage
        self._callback_by_key: dict[str, Callable[[], None]] = {}
        self._rewrite_wanted = False
        self._busy = False

    def after_sync(self, key: str, callback: Callable[[], None]) -> None:
        """Call back, with the lock held, once all up to now is durable.

        A later callback with the same key replaces a waiting one. With
        nothing to sync the call is immediate.
        """
        if not self._has_work() and not self._busy:
            if self._state.storage_ok:
                callback()
            return
        self._callback_by_key[key] = callback
        self._state.writer_work.notify()

    def request_rewrite(self) -> None:
        """Write the whole log anew, for example after a compaction."""
        self._rewrite_wanted = True
        self._state.writer_work.notify()

    def run(self) -> None:
        """Write until stopped and nothing is left."""
        while True:
            batch = self._next_batch()
            if batch is None:
                return
            self._write(batch)

    def _has_work(self) -> bool:
        return bool(
            self._state.unwritten
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
            entries = tuple(state.unwritten)
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
            state.unwritten = []
            state.vote_unwritten = False
            self._rewrite_wanted = False
            self._callback_by_key = {}
            self._busy = True
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
            elif batch.needed:
                self._storage.append(batch.term, batch.vote, batch.entries)
        except StorageUnavailable as error:
            self._after_failure(error)
            return
        with self._state.lock:
            self._busy = False
            if not self._state.storage_ok:
                log_event('storage_recovered')
            self._state.storage_ok = True
            self._state.durable_term = batch.term
            self._note_durable(batch)
            for callback in batch.callbacks:
                callback()
            self._state.commit_by_quorum()

    def _after_failure(self, error: StorageUnavailable) -> None:
        with self._state.lock:
            self._busy = False
            if self._state.storage_ok:
                log_event('storage_failed', reason=str(error))
            self._state.storage_ok = False
            self._rewrite_wanted = True
            self._callback_by_key = {}
            self._state.stand_down('storage failed')
            if not self._state.stopping:
                self._state.writer_work.wait(_PAUSE_AFTER_FAILURE_S)

    def _note_durable(self, batch: _Batch) -> None:
        """Advance past entries that were not dropped meanwhile."""
        window = self._state.window
        if batch.rewrite and batch.compacted_index == window.compacted_index:
            self._state.durable = max(
                self._state.durable, batch.compacted_index
            )
        for entry in reversed(batch.entries):
            if not window.has_term_of(entry.index):
                continue
            if window.term_at(entry.index) == entry.term:
                self._state.durable = max(self._state.durable, entry.index)
                return
