"""The daemon with faults at its disk and a name for its connections.

The matrix starts this in place of `baobabgap.daemon`. Nothing of the
product changes but three seams: links are dialled from an address of the
process's own, so that the relays can tell who dials; what listens where
a relay stands listens behind it; and the data folder of a control host
obeys a file of orders.
"""

from collections.abc import Callable
import functools
import os
from pathlib import Path
import sys
import time
from typing import Any
from typing import Final

from websockets.sync.client import connect
from websockets.sync.server import serve

from baobabgap.daemon import main
from baobabgap.replication import _log
from baobabgap.replication._folder import AppendFile
from baobabgap.replication._folder import DiskFolder
from baobabgap.replication._limits import LogLimits
from baobabgap.transport import _dialer
from baobabgap.transport import _listener
from tools.matrix._addresses import LISTEN_HOST
from tools.matrix._addresses import RELAY_HOST
from tools.matrix._addresses import source_host
from tools.matrix._disk import DiskFault
from tools.matrix._disk import order_file

_SLOW_SYNC_S: Final = 0.4
_KILLED: Final = 137
# Small, so that snapshots are made and sent within seconds.
_LIMITS: Final = LogLimits(
    snapshot_after_bytes=12_000,
    kept_bytes=2_000,
    message_bytes=4_000,
    snapshot_part_bytes=3_000,
)


class _OrderedFolder(DiskFolder):
    """A data folder on the disk that fails when it is told to."""

    def __init__(self, path: str, added_sync_delay_s: float = 0.0) -> None:
        super().__init__(path, added_sync_delay_s)
        self._orders = order_file(Path(path))

    def open_append(self, name: str) -> AppendFile:
        """Open a file that obeys the orders."""
        return _OrderedFile(super().open_append(name), self._orders)


class _OrderedFile:
    """One file of an `_OrderedFolder`."""

    def __init__(self, file: AppendFile, orders: Path) -> None:
        self._file = file
        self._orders = orders

    def append(self, data: bytes) -> None:
        match self._fault():
            case DiskFault.FULL:
                self._file.append(data[: len(data) // 2])
                raise OSError(28, 'No space left on device')
            case DiskFault.TORN:
                self._file.append(data[: len(data) // 2])
                os._exit(_KILLED)
            case _:
                self._file.append(data)

    def sync(self) -> None:
        if self._fault() is DiskFault.SLOW:
            time.sleep(_SLOW_SYNC_S)
        self._file.sync()

    def truncate(self, size: int) -> None:
        self._file.truncate(size)

    def close(self) -> None:
        self._file.close()

    def _fault(self) -> DiskFault | None:
        try:
            return DiskFault(self._orders.read_text())
        except (OSError, ValueError):
            return None


def _behind_relay(listen: Callable[..., Any]) -> Callable[..., Any]:
    def serve_behind(handler: Any, host: str, *rest: Any, **named: Any) -> Any:
        if host == RELAY_HOST:
            host = LISTEN_HOST
        return listen(handler, host, *rest, **named)

    return serve_behind


def install_faulty_disk() -> None:
    """Have data folders obey orders, and logs compacted often."""
    seams: list[tuple[Any, str, Any]] = [
        (_log, 'DiskFolder', _OrderedFolder),
        (_log, 'LogLimits', lambda: _LIMITS),
    ]
    for module, attribute, replacement in seams:
        setattr(module, attribute, replacement)


def _install(name: str) -> None:
    """Put the seams in place of the product's own."""
    install_faulty_disk()
    from_own_address = functools.partial(
        connect, source_address=(source_host(name), 0)
    )
    seams: list[tuple[Any, str, Any]] = [
        (_dialer, 'connect', from_own_address),
        (_listener, 'serve', _behind_relay(serve)),
    ]
    for module, attribute, replacement in seams:
        setattr(module, attribute, replacement)


if __name__ == '__main__':
    _install(Path(sys.argv[-1]).stem)
    sys.exit(main())
