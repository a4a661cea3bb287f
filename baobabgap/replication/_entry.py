"""The entries of the log and their one encoding, on disk and on links."""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
import struct
from typing import Final

_HEADER: Final = struct.Struct('<QQBI')


class EntryKind(IntEnum):
    """What an entry carries."""

    # A command for the state machine.
    COMMAND = 0
    # The encoded membership that is in force from this entry on.
    MEMBERSHIP = 1
    # Nothing: a new leader appends one to learn what is committed.
    NO_OPERATION = 2


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log."""

    # Its position; the first entry has index 1.
    index: int
    # The term of the leader that appended it.
    term: int
    # What it carries.
    kind: EntryKind
    # The command or the membership as bytes.
    data: bytes

    @property
    def encoded_bytes(self) -> int:
        """How long its encoding is."""
        return _HEADER.size + len(self.data)


def encode_entries(entries: Iterable[Entry]) -> bytes:
    """Pack entries one after the other."""
    parts: list[bytes] = []
    for entry in entries:
        parts.append(
            _HEADER.pack(entry.index, entry.term, entry.kind, len(entry.data))
        )
        parts.append(entry.data)
    return b''.join(parts)


def decode_entries(blob: bytes) -> Iterator[Entry]:
    """Unpack what `encode_entries` packed; raise `ValueError` if not."""
    offset = 0
    while offset < len(blob):
        if offset + _HEADER.size > len(blob):
            raise ValueError('an entry header is cut short')
        index, term, kind, length = _HEADER.unpack_from(blob, offset)
        start = offset + _HEADER.size
        offset = start + length
        if offset > len(blob):
            raise ValueError(f'entry {index} is cut short')
        yield Entry(index, term, EntryKind(kind), blob[start:offset])
