"""A data folder in memory that injects disk faults."""

import threading

from baobabgap.replication._errors import DataFolderInUse
from baobabgap.replication._folder import AppendFile


class FaultyFolder:
    """Files in memory; `crash` tears data that was not synced."""

    def __init__(self) -> None:
        self.content_by_name: dict[str, bytearray] = {}
        self.synced_by_name: dict[str, int] = {}
        self.locked = False
        # The bytes that can still be written; None for no limit.
        self.free_bytes: int | None = None
        # The files for which there is no space.
        self.full_names: set[str] = set()
        # Whether each sync fails.
        self.sync_fails = False
        # Each sync waits for this event; clear it to make the disk hang.
        self.sync_gate = threading.Event()
        self.sync_gate.set()

    def lock(self) -> None:
        if self.locked:
            raise DataFolderInUse('in use', step='open storage')
        self.locked = True

    def path_of(self, name: str) -> str:
        return f'/memory/{name}'

    def names(self) -> list[str]:
        return sorted(self.content_by_name)

    def read(self, name: str) -> bytes:
        return bytes(self.content_by_name[name])

    def open_append(self, name: str) -> AppendFile:
        self.content_by_name.setdefault(name, bytearray())
        self.synced_by_name.setdefault(name, 0)
        return FaultyFile(self, name)

    def replace(self, temporary_name: str, name: str) -> None:
        content = self.content_by_name.pop(temporary_name)
        self.content_by_name[name] = content
        self.synced_by_name[name] = self.synced_by_name.pop(temporary_name)

    def remove(self, name: str) -> None:
        self.content_by_name.pop(name, None)
        self.synced_by_name.pop(name, None)

    def used_bytes(self) -> int:
        return sum(len(content) for content in self.content_by_name.values())

    def close(self) -> None:
        self.locked = False

    def crash(self) -> 'FaultyFolder':
        """Return the folder as it is after a power loss.

        Half of the data that was not synced remains, as a torn write.
        """
        crashed = FaultyFolder()
        for name, content in list(self.content_by_name.items()):
            synced = self.synced_by_name.get(name, 0)
            torn = synced + (len(content) - synced) // 2
            crashed.content_by_name[name] = content[:torn]
            crashed.synced_by_name[name] = torn
        return crashed


class FaultyFile:
    """One file of a `FaultyFolder`."""

    def __init__(self, folder: FaultyFolder, name: str) -> None:
        self._folder = folder
        self._content = folder.content_by_name[name]

    def append(self, data: bytes) -> None:
        if self._name in self._folder.full_names:
            raise OSError(28, 'No space left on device')
        free_bytes = self._folder.free_bytes
        if free_bytes is not None and len(data) > free_bytes:
            self._content += data[:free_bytes]
            raise OSError(28, 'No space left on device')
        if free_bytes is not None:
            self._folder.free_bytes = free_bytes - len(data)
        self._content += data

    def sync(self) -> None:
        self._folder.sync_gate.wait(30.0)
        if self._folder.sync_fails:
            raise OSError(5, 'Input/output error')
        for name, content in self._folder.content_by_name.items():
            if content is self._content:
                self._folder.synced_by_name[name] = len(content)

    def truncate(self, size: int) -> None:
        del self._content[size:]

    def close(self) -> None:
        """Nothing to release."""

    @property
    def _name(self) -> str:
        """The present name of the file; empty once it is removed."""
        for name, content in list(self._folder.content_by_name.items()):
            if content is self._content:
                return name
        return ''
