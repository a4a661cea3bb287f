"""The daemon with injected disk faults and identifiable connections.

The matrix starts this module in place of `baobabgap.daemon`. It patches
the product in three places: each process opens links from its own source
address, by which the relays identify it; a listener configured with the
address of a relay listens behind that relay; and the data folder of a
control host fails as its disk fault file says.
"""

from collections.abc import Callable
import functools
import os
from pathlib import Path
import sys
import time
from typing import Any
from typing import Final

from baobabgap.daemon import main
from baobabgap.replication import _log
from baobabgap.replication._folder import AppendFile
from baobabgap.replication._folder import DiskFolder
from baobabgap.replication._limits import LogLimits
from baobabgap.transport import _dialer
from baobabgap.transport import _listener
from baobabgap.transport._link_socket import connect
from baobabgap.transport._link_socket import listen
from tools.matrix._addresses import LISTEN_HOST
from tools.matrix._addresses import RELAY_HOST
from tools.matrix._addresses import source_host
from tools.matrix._disk import disk_fault_file
from tools.matrix._disk import DiskFault

_SLOW_SYNC_S: Final = 0.4
_KILLED_EXIT_STATUS: Final = 137
# Small, so that snapshots are written and sent within seconds.
_LOG_LIMITS: Final = LogLimits(
    snapshot_after_bytes=12_000,
    kept_bytes=2_000,
    message_bytes=4_000,
    snapshot_part_bytes=3_000,
)


class _FaultyFolder(DiskFolder):
    """A data folder whose files fail as its disk fault file says."""

    def __init__(self, path: str, added_sync_delay_s: float = 0.0) -> None:
        super().__init__(path, added_sync_delay_s)
        self._fault_file = disk_fault_file(Path(path))

    def open_append(self, name: str) -> AppendFile:
        """Open a file with injected faults."""
        return _FaultyFile(super().open_append(name), self._fault_file)


class _FaultyFile:
    """One file of a `_FaultyFolder`."""

    def __init__(self, file: AppendFile, fault_file: Path) -> None:
        self._file = file
        self._fault_file = fault_file

    def append(self, data: bytes) -> None:
        match self._read_fault():
            case DiskFault.FULL:
                self._file.append(data[: len(data) // 2])
                raise OSError(28, 'No space left on device')
            case DiskFault.TORN:
                self._file.append(data[: len(data) // 2])
                os._exit(_KILLED_EXIT_STATUS)
            case _:
                self._file.append(data)

    def sync(self) -> None:
        if self._read_fault() is DiskFault.SLOW:
            time.sleep(_SLOW_SYNC_S)
        self._file.sync()

    def truncate(self, size: int) -> None:
        self._file.truncate(size)

    def close(self) -> None:
        self._file.close()

    def _read_fault(self) -> DiskFault | None:
        try:
            return DiskFault(self._fault_file.read_text())
        except (OSError, ValueError):
            return None


def _listen_behind_relay(listen: Callable[..., Any]) -> Callable[..., Any]:
    def listen_behind(host: str, port: int) -> Any:
        return listen(LISTEN_HOST if host == RELAY_HOST else host, port)

    return listen_behind


def install_faulty_disk() -> None:
    """Inject disk faults into data folders and compact logs often."""
    patches: list[tuple[Any, str, Any]] = [
        (_log, 'DiskFolder', _FaultyFolder),
        (_log, 'LogLimits', lambda: _LOG_LIMITS),
    ]
    for module, attribute, replacement in patches:
        setattr(module, attribute, replacement)


def _install_patches(name: str) -> None:
    """Patch the product's modules for the process with this name."""
    install_faulty_disk()
    connect_from_own_address = functools.partial(
        connect, source_address=(source_host(name), 0)
    )
    patches: list[tuple[Any, str, Any]] = [
        (_dialer, 'connect', connect_from_own_address),
        (_listener, 'listen', _listen_behind_relay(listen)),
    ]
    for module, attribute, replacement in patches:
        setattr(module, attribute, replacement)


if __name__ == '__main__':
    _install_patches(Path(sys.argv[-1]).stem)
    sys.exit(main())
