"""Orders to the disk of a control host."""

from enum import StrEnum
from pathlib import Path


class DiskFault(StrEnum):
    """What a disk does wrong while the order stands."""

    # Takes half of what is written and refuses the rest.
    FULL = 'full'
    # Takes half of the next write, and the host loses power.
    TORN = 'torn'
    # Every sync takes long.
    SLOW = 'slow'


def order_file(data_folder: Path) -> Path:
    """Return the file that holds the order for a data folder."""
    return data_folder.with_name(f'{data_folder.name}.order')
