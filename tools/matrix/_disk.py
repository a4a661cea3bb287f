"""Faults that can be injected into the disk of a control host."""

from enum import StrEnum
from pathlib import Path


class DiskFault(StrEnum):
    """How a disk fails while the fault is set."""

    # Each write stores half of its data and fails.
    FULL = 'full'
    # The next write stores half of its data and ends the process.
    TORN = 'torn'
    # Every sync is slow.
    SLOW = 'slow'


def disk_fault_file(data_folder: Path) -> Path:
    """Return the file that names the current fault of a data folder."""
    return data_folder.with_name(f'{data_folder.name}.order')
