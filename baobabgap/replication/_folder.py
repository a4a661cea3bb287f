"""The data folder: the interface between the storage and the disk.

Tests replace `DiskFolder` with a folder that injects faults.
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
    """A file that can only be appended to and truncated."""

    def append(self, data: bytes) -> None:
        """Append all of `data`, or raise `OSError`."""

    def sync(self) -> None:
        """Return once all appended data survives a power loss."""

    def truncate(self, size: int) -> None:
        """Truncate the file to `size` bytes."""

    def close(self) -> None:
        """Close the file."""


class DataFolder(Protocol):
    """The folder that holds the durable state of one host."""

    def lock(self) -> None:
        """Lock out other processes; raise `DataFolderInUse`."""

    def path_of(self, name: str) -> str:
        """Return the path of a file, for error messages."""

    def names(self) -> list[str]:
        """Return the names of all files except the lock file."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def open_append(self, name: str) -> AppendFile:
        """Open a file for appending; create it if it is missing."""

    def replace(self, temporary_name: str, name: str) -> None:
        """Rename durably, replacing an existing file."""

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""

    def used_bytes(self) -> int:
        """Return the total size of all files."""

    def close(self) -> None:
        """Release the lock."""


class DiskFile:
    """A file on the disk."""

    def __init__(self, path: Path, added_sync_delay_s: float) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o640)
        self._added_sync_delay_s = added_sync_delay_s

    def append(self, data: bytes) -> None:
        """Append all of `data`, also after partial writes."""
        rest = memoryview(data)
        while rest:
            written = os.write(self._descriptor, rest)
            rest = rest[written:]

    def sync(self) -> None:
        """Sync data and file size, after the configured delay."""
        if self._added_sync_delay_s > 0:
            time.sleep(self._added_sync_delay_s)
        os.fdatasync(self._descriptor)

    def truncate(self, size: int) -> None:
        """Truncate the file to `size` bytes."""
        os.ftruncate(self._descriptor, size)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self._descriptor)


class DiskFolder:
    """A folder on disk; its lock is released when the process ends."""

    def __init__(self, path: str, added_sync_delay_s: float = 0.0) -> None:
        self._path: Final = Path(path)
        self._added_sync_delay_s = added_sync_delay_s
        self._lock_descriptor = -1

    def lock(self) -> None:
        """Create the folder if it is missing, and lock it."""
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
        """Return the names of all files except the lock file."""
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
        """Rename, then sync the folder to make the new name durable."""
        os.replace(self._path / temporary_name, self._path / name)
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        (self._path / name).unlink(missing_ok=True)

    def used_bytes(self) -> int:
        """Return the total size of all files."""
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
