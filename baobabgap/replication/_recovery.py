"""Reading a data folder at startup: its format and its entries."""

import json
from typing import Final

from baobabgap.replication._entry import Entry
from baobabgap.replication._errors import DamagedLog
from baobabgap.replication._folder import DataFolder
from baobabgap.replication._records import ScannedLog
from baobabgap.replication._snapshot import Snapshot

FOLDER_FORMAT_VERSION: Final = 1
FORMAT_NAME: Final = 'format'
LOG_NAME: Final = 'log'
SNAPSHOT_NAME: Final = 'snapshot'
TEMPORARY_SUFFIX: Final = '.new'


def join_entries(
    folder: DataFolder, scanned: ScannedLog, snapshot: Snapshot | None
) -> tuple[Entry, ...]:
    """Return the entries after the snapshot, from all records.

    An entry replaces the entries from its index on in earlier records.
    Raises `DamagedLog` if an entry is out of sequence, or if the snapshot
    does not reach the start of the log.
    """
    snapshot_index = snapshot.index if snapshot is not None else 0
    if snapshot_index < scanned.base_index:
        raise DamagedLog(
            folder.path_of(SNAPSHOT_NAME),
            0,
            f'the log needs a snapshot up to {scanned.base_index}; '
            f'the stored one is up to {snapshot_index}',
        )
    entries: list[Entry] = []
    for record in scanned.records:
        for entry in record.entries:
            kept_count = entry.index - scanned.base_index - 1
            if kept_count < 0 or kept_count > len(entries):
                raise DamagedLog(
                    folder.path_of(LOG_NAME),
                    0,
                    f'entry {entry.index} is out of sequence',
                )
            del entries[kept_count:]
            entries.append(entry)
    if snapshot is None:
        return tuple(entries)
    return _after_snapshot(entries, snapshot)


def _after_snapshot(
    entries: list[Entry], snapshot: Snapshot
) -> tuple[Entry, ...]:
    """Drop entries that the snapshot covers or conflicts with."""
    if not entries or entries[0].index == snapshot.index + 1:
        return tuple(entries)
    position = snapshot.index - entries[0].index
    if position >= len(entries):
        return ()
    if entries[position].term != snapshot.term:
        return ()
    return tuple(entries[position + 1 :])


def write_file(folder: DataFolder, name: str, content: bytes) -> None:
    """Write a file durably, replacing an existing one atomically."""
    temporary = name + TEMPORARY_SUFFIX
    folder.remove(temporary)
    file = folder.open_append(temporary)
    try:
        file.append(content)
        file.sync()
    finally:
        file.close()
    folder.replace(temporary, name)


def write_format(folder: DataFolder, identity: str) -> None:
    """Write the format file, which marks the folder as initialized."""
    document = {'format_version': FOLDER_FORMAT_VERSION, 'store': identity}
    write_file(folder, FORMAT_NAME, json.dumps(document).encode())


def read_format(folder: DataFolder) -> str:
    """Return the identity of the store; raise `DamagedLog`."""
    path = folder.path_of(FORMAT_NAME)
    try:
        document = json.loads(folder.read(FORMAT_NAME))
        version = document['format_version']
        identity = str(document['store'])
        bytes.fromhex(identity)
    except (ValueError, KeyError, TypeError) as error:
        raise DamagedLog(path, 0, f'unreadable: {error}') from error
    if version != FOLDER_FORMAT_VERSION:
        raise DamagedLog(
            path,
            0,
            f'format version {version}; this program reads '
            f'{FOLDER_FORMAT_VERSION}',
        )
    return identity
