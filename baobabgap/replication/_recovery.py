"""Reading a data folder at a start: its format, and what counts in it."""

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
    """Return the entries after the snapshot; later ones replace earlier.

    Raises `DamagedLog` if the snapshot that the log builds on is gone.
    """
    covered = snapshot.index if snapshot is not None else 0
    if covered < scanned.base_index:
        raise DamagedLog(
            folder.path_of(SNAPSHOT_NAME),
            0,
            f'the log builds on a snapshot up to {scanned.base_index}; '
            f'this one is up to {covered}',
        )
    entries: list[Entry] = []
    for record in scanned.records:
        for entry in record.entries:
            keep = entry.index - scanned.base_index - 1
            if keep < 0 or keep > len(entries):
                raise DamagedLog(
                    folder.path_of(LOG_NAME), 0, f'entry {entry.index} jumps'
                )
            del entries[keep:]
            entries.append(entry)
    if snapshot is None:
        return tuple(entries)
    return _after_snapshot(entries, snapshot)


def _after_snapshot(
    entries: list[Entry], snapshot: Snapshot
) -> tuple[Entry, ...]:
    """Drop what the snapshot covers, or a log that it has replaced."""
    if not entries or entries[0].index == snapshot.index + 1:
        return tuple(entries)
    position = snapshot.index - entries[0].index
    if position >= len(entries):
        return ()
    if entries[position].term != snapshot.term:
        return ()
    return tuple(entries[position + 1 :])


def write_file(folder: DataFolder, name: str, content: bytes) -> None:
    """Put a whole file in place, durably."""
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
    """Seal a folder that has been set up."""
    document = {'format_version': FOLDER_FORMAT_VERSION, 'store': identity}
    write_file(folder, FORMAT_NAME, json.dumps(document).encode())


def read_format(folder: DataFolder) -> str:
    """Return the store's identity; raise `DamagedLog`."""
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
