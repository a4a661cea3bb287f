"""Log entries and their encoding, which disk and network share."""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
import struct
from typing import Final

_HEADER: Final = struct.Struct('<QQBI')


class EntryKind(IntEnum):
    """The kind of content that an entry carries."""

    # A command for the state machine.
    COMMAND = 0
    # An encoded membership, in force from this entry on.
    MEMBERSHIP = 1
    # No content: a new leader appends one to find the commit index.
    NO_OPERATION = 2


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log."""

    # The position in the log; the first entry has index 1.
    index: int
    # The term of the leader that appended it.
    term: int
    # The kind of content in `data`.
    kind: EntryKind
    # The command, or the encoded membership.
    data: bytes

    @property
    def encoded_bytes(self) -> int:
        """The size of the encoded entry."""
        return _HEADER.size + len(self.data)


def encode_entries(entries: Iterable[Entry]) -> bytes:
    """Encode entries one after the other."""
    parts: list[bytes] = []
    for entry in entries:
        parts.append(
            _HEADER.pack(entry.index, entry.term, entry.kind, len(entry.data))
        )
        parts.append(entry.data)
    return b''.join(parts)


def decode_entries(blob: bytes) -> Iterator[Entry]:
    """Decode the output of `encode_entries`; raise `ValueError`."""
    offset = 0
    while offset < len(blob):
        if offset + _HEADER.size > len(blob):
            raise ValueError('an entry header is truncated')
        index, term, kind, length = _HEADER.unpack_from(blob, offset)
        start = offset + _HEADER.size
        offset = start + length
        if offset > len(blob):
            raise ValueError(f'entry {index} is truncated')
        yield Entry(index, term, EntryKind(kind), blob[start:offset])
