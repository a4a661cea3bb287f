"""The data folder: the narrow seam between the storage and the disk.

Tests put a folder with faults in place of `DiskFolder`.
"""

import fcntl
import os
from pathlib import Path
import time
from typing import Final
from typing import Protocol

from baobabgap.replication._errors import DataFolderInUse

_LOCK_NAME: Final = 'lock'


class AppendFile(Protocol):
    """A file that only grows, but for cutting its end."""

    def append(self, data: bytes) -> None:
        """Write at the end; raise `OSError` if not all was written."""

    def sync(self) -> None:
        """Return once all that was written survives a loss of power."""

    def truncate(self, size: int) -> None:
        """Cut the file to `size` bytes."""

    def close(self) -> None:
        """Release the file."""


class DataFolder(Protocol):
    """The one folder that a host keeps its durable state in."""

    def lock(self) -> None:
        """Keep other processes out; raise `DataFolderInUse`."""

    def path_of(self, name: str) -> str:
        """Return the path of a file, for people."""

    def names(self) -> list[str]:
        """Return the names of the files, without the lock."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def open_append(self, name: str) -> AppendFile:
        """Open a file for appending; create it if there is none."""

    def replace(self, temporary_name: str, name: str) -> None:
        """Rename durably, over an existing file if there is one."""

    def remove(self, name: str) -> None:
        """Remove a file if there is one."""

    def used_bytes(self) -> int:
        """Return the size of all files together."""

    def close(self) -> None:
        """Release the lock."""


class DiskFile:
    """A file on the disk."""

    def __init__(self, path: Path, added_sync_delay_s: float) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o640)
        self._added_sync_delay_s = added_sync_delay_s

    def append(self, data: bytes) -> None:
        """Write at the end, in several pieces if need be."""
        rest = memoryview(data)
        while rest:
            written = os.write(self._descriptor, rest)
            rest = rest[written:]

    def sync(self) -> None:
        """Sync data and size, after the added delay."""
        if self._added_sync_delay_s > 0:
            time.sleep(self._added_sync_delay_s)
        os.fdatasync(self._descriptor)

    def truncate(self, size: int) -> None:
        """Cut the file."""
        os.ftruncate(self._descriptor, size)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self._descriptor)


class DiskFolder:
    """A folder on the disk, held by a lock that dies with the process."""

    def __init__(self, path: str, added_sync_delay_s: float = 0.0) -> None:
        self._path: Final = Path(path)
        self._added_sync_delay_s = added_sync_delay_s
        self._lock_descriptor = -1

    def lock(self) -> None:
        """Create the folder if need be and lock it."""
        self._path.mkdir(parents=True, exist_ok=True)
        descriptor = os.open(
            self._path / _LOCK_NAME,
            os.O_RDWR | os.O_CREAT | os.O_CLOEXEC,
            0o640,
        )
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise DataFolderInUse(
                f'{self._path} is in use by another process',
                step='open storage',
            ) from error
        self._lock_descriptor = descriptor

    def path_of(self, name: str) -> str:
        """Return the path of a file."""
        return str(self._path / name)

    def names(self) -> list[str]:
        """Return the names of the files, without the lock."""
        return sorted(
            path.name
            for path in self._path.iterdir()
            if path.is_file() and path.name != _LOCK_NAME
        )

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self._path / name).read_bytes()

    def open_append(self, name: str) -> AppendFile:
        """Open a file for appending."""
        return DiskFile(self._path / name, self._added_sync_delay_s)

    def replace(self, temporary_name: str, name: str) -> None:
        """Rename, then sync the folder so that the name survives."""
        os.replace(self._path / temporary_name, self._path / name)
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, name: str) -> None:
        """Remove a file if there is one."""
        (self._path / name).unlink(missing_ok=True)

    def used_bytes(self) -> int:
        """Return the size of all files together."""
        return sum(
            path.stat().st_size
            for path in self._path.iterdir()
            if path.is_file()
        )

    def close(self) -> None:
        """Release the lock."""
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1
