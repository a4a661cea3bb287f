"""The durable state of one host: identity, term, vote, log, snapshot."""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
import os
import threading
from typing import Final

from baobabgap.replication._entry import Entry
from baobabgap.replication._errors import DamagedLog
from baobabgap.replication._errors import DataFolderInUse
from baobabgap.replication._errors import StorageUnavailable
from baobabgap.replication._folder import AppendFile
from baobabgap.replication._folder import DataFolder
from baobabgap.replication._records import encode_record
from baobabgap.replication._records import new_file_header
from baobabgap.replication._records import Record
from baobabgap.replication._records import scan_log
from baobabgap.replication._recovery import FORMAT_NAME
from baobabgap.replication._recovery import join_entries
from baobabgap.replication._recovery import LOG_NAME
from baobabgap.replication._recovery import read_format
from baobabgap.replication._recovery import SNAPSHOT_NAME
from baobabgap.replication._recovery import TEMPORARY_SUFFIX
from baobabgap.replication._recovery import write_file
from baobabgap.replication._recovery import write_format
from baobabgap.replication._snapshot import decode_snapshot
from baobabgap.replication._snapshot import encode_snapshot
from baobabgap.replication._snapshot import Snapshot

_IDENTITY_BYTES: Final = 8
_LARGEST_RECORD_BYTES: Final = 1024 * 1024


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """The state that a host reads from its data folder at startup."""

    # The last synced term.
    term: int
    # The store that this host voted for in that term, or empty.
    vote: str
    # The stored snapshot, or None.
    snapshot: Snapshot | None
    # The entries after the snapshot, without gaps.
    entries: tuple[Entry, ...]


class Storage:
    """The files of one data folder.

    Only one task may call `append` and `rewrite`; any task may call
    `save_snapshot` and `load_snapshot`. After a failure, `append` raises
    until `rewrite` has replaced the whole log, since the content of the
    file after a failed sync is unknown.
    """

    def __init__(
        self, folder: DataFolder, identity: str, recovered: RecoveredState
    ) -> None:
        # The random identity of this data folder.
        self.identity: Final = identity
        self.recovered: Final = recovered
        self._folder = folder
        self._file: AppendFile | None = None
        self._salt = 0
        self._sequence = 0
        self._log_bytes = 0
        self._snapshot_lock = threading.Lock()
        self._snapshot_index = (
            recovered.snapshot.index if recovered.snapshot else 0
        )

    @classmethod
    def open(cls, folder: DataFolder) -> 'Storage':
        """Lock the folder and read it; initialize it if it is empty.

        A torn write at the end of the log is discarded. Raises
        `DataFolderInUse`, `DamagedLog` or `StorageUnavailable`.
        """
        try:
            folder.lock()
            return cls._open_locked(folder)
        except DataFolderInUse:
            raise
        except OSError as error:
            folder.close()
            raise StorageUnavailable(
                str(error), step='open storage'
            ) from error
        except Exception:
            folder.close()
            raise

    @classmethod
    def _open_locked(cls, folder: DataFolder) -> 'Storage':
        names = set(folder.names())
        if FORMAT_NAME not in names:
            return cls._set_up(folder, names)
        identity = read_format(folder)
        if LOG_NAME not in names:
            raise DamagedLog(
                folder.path_of(LOG_NAME), 0, 'the file is missing'
            )
        scanned = scan_log(folder.path_of(LOG_NAME), folder.read(LOG_NAME))
        snapshot = None
        if SNAPSHOT_NAME in names:
            path = folder.path_of(SNAPSHOT_NAME)
            snapshot = decode_snapshot(path, folder.read(SNAPSHOT_NAME))
        entries = join_entries(folder, scanned, snapshot)
        last = scanned.records[-1] if scanned.records else Record(0, '', ())
        recovered = RecoveredState(last.term, last.vote, snapshot, entries)
        storage = cls(folder, identity, recovered)
        # Rewriting the log also discards a torn write at its end.
        base_index = snapshot.index if snapshot is not None else 0
        storage.rewrite(last.term, last.vote, base_index, entries)
        return storage

    @classmethod
    def _set_up(cls, folder: DataFolder, names: set[str]) -> 'Storage':
        """Create a new store; the format file is written last."""
        if SNAPSHOT_NAME in names:
            raise DamagedLog(
                folder.path_of(FORMAT_NAME), 0, 'the file is missing'
            )
        if LOG_NAME in names:
            scanned = scan_log(folder.path_of(LOG_NAME), folder.read(LOG_NAME))
            if any(record.term for record in scanned.records):
                raise DamagedLog(
                    folder.path_of(FORMAT_NAME), 0, 'the file is missing'
                )
        identity = os.urandom(_IDENTITY_BYTES).hex()
        storage = cls(folder, identity, RecoveredState(0, '', None, ()))
        storage.rewrite(0, '', 0, ())
        write_format(folder, identity)
        return storage

    @property
    def log_bytes(self) -> int:
        """The size of the log file."""
        return self._log_bytes

    def used_bytes(self) -> int:
        """Return the total size of the files in the folder."""
        try:
            return self._folder.used_bytes()
        except OSError:
            return 0

    def append(self, term: int, vote: str, entries: Iterable[Entry]) -> None:
        """Append one record and sync it; raise `StorageUnavailable`."""
        if self._file is None:
            raise StorageUnavailable('the log is not open', step='append')
        record = Record(term, vote, tuple(entries))
        data = encode_record(self._salt, self._sequence + 1, record)
        try:
            self._file.append(data)
            self._file.sync()
        except OSError as error:
            self._close_file()
            raise StorageUnavailable(str(error), step='append') from error
        self._sequence += 1
        self._log_bytes += len(data)

    def rewrite(
        self,
        term: int,
        vote: str,
        base_index: int,
        entries: Iterable[Entry],
    ) -> None:
        """Replace the whole log durably; raise `StorageUnavailable`.

        The saved snapshot must cover all entries up to `base_index`.
        """
        temporary = LOG_NAME + TEMPORARY_SUFFIX
        file: AppendFile | None = None
        try:
            self._folder.remove(temporary)
            file = self._folder.open_append(temporary)
            salt, header = new_file_header(base_index)
            file.append(header)
            log_bytes = len(header)
            sequence = 0
            for part in _split_entries(entries):
                sequence += 1
                record = Record(term, vote, part)
                data = encode_record(salt, sequence, record)
                file.append(data)
                log_bytes += len(data)
            file.sync()
            self._folder.replace(temporary, LOG_NAME)
        except OSError as error:
            if file is not None:
                file.close()
            self._close_file()
            self._remove_ignoring_errors(temporary)
            raise StorageUnavailable(str(error), step='rewrite') from error
        if self._file is not None:
            self._file.close()
        self._file = file
        self._salt = salt
        self._sequence = sequence
        self._log_bytes = log_bytes

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the stored snapshot durably if the new one is newer."""
        temporary = SNAPSHOT_NAME + TEMPORARY_SUFFIX
        with self._snapshot_lock:
            if snapshot.index <= self._snapshot_index:
                return
            try:
                write_file(
                    self._folder, SNAPSHOT_NAME, encode_snapshot(snapshot)
                )
            except OSError as error:
                self._remove_ignoring_errors(temporary)
                raise StorageUnavailable(
                    str(error), step='save snapshot'
                ) from error
            self._snapshot_index = snapshot.index

    def load_snapshot(self) -> Snapshot:
        """Read the stored snapshot; raise `StorageUnavailable`."""
        with self._snapshot_lock:
            try:
                content = self._folder.read(SNAPSHOT_NAME)
            except OSError as error:
                raise StorageUnavailable(
                    str(error), step='load snapshot'
                ) from error
        path = self._folder.path_of(SNAPSHOT_NAME)
        return decode_snapshot(path, content)

    def close(self) -> None:
        """Release the files and the lock."""
        if self._file is not None:
            self._file.close()
            self._file = None
        self._folder.close()

    def _close_file(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None

    def _remove_ignoring_errors(self, name: str) -> None:
        try:
            self._folder.remove(name)
        except OSError:
            return


def _split_entries(
    entries: Iterable[Entry],
) -> Iterator[tuple[Entry, ...]]:
    """Split entries into records of bounded size.

    The last record is empty, so that a valid record follows every entry
    and damage to an entry can't be mistaken for a torn write.
    """
    part: list[Entry] = []
    part_bytes = 0
    for entry in entries:
        part.append(entry)
        part_bytes += entry.encoded_bytes
        if part_bytes >= _LARGEST_RECORD_BYTES:
            yield tuple(part)
            part = []
            part_bytes = 0
    if part:
        yield tuple(part)
    yield ()
