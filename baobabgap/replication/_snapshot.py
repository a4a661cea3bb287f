"""Snapshots of the state machine and their file."""

from dataclasses import dataclass
import hashlib
import struct
from typing import Final

from baobabgap.replication._errors import DamagedLog

SNAPSHOT_FORMAT_VERSION: Final = 1
_MAGIC: Final = b'baobsnap'
_DIGEST_BYTES: Final = 16
# Magic, format version, index, term, bytes of membership and of state.
_HEADER: Final = struct.Struct('<8sIQQIQ')


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after all entries up to one index."""

    # The last entry that the state includes.
    index: int
    # The term of that entry.
    term: int
    # The encoded membership in force at that entry.
    membership: bytes
    # What the state machine returned.
    state: bytes


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the content of the snapshot's file."""
    header = _HEADER.pack(
        _MAGIC,
        SNAPSHOT_FORMAT_VERSION,
        snapshot.index,
        snapshot.term,
        len(snapshot.membership),
        len(snapshot.state),
    )
    content = b''.join((header, snapshot.membership, snapshot.state))
    return content + _digest(content)


def decode_snapshot(path: str, content: bytes) -> Snapshot:
    """Read a snapshot's file; raise `DamagedLog` if it is not whole."""
    if len(content) < _HEADER.size + _DIGEST_BYTES:
        raise DamagedLog(path, len(content), 'the snapshot is cut short')
    magic, version, index, term, membership_bytes, state_bytes = (
        _HEADER.unpack_from(content)
    )
    if magic != _MAGIC:
        raise DamagedLog(path, 0, 'this is no snapshot file')
    if content[-_DIGEST_BYTES:] != _digest(content[:-_DIGEST_BYTES]):
        raise DamagedLog(path, 0, 'wrong checksum of the snapshot')
    if version != SNAPSHOT_FORMAT_VERSION:
        raise DamagedLog(
            path,
            len(_MAGIC),
            f'format version {version}; this program reads '
            f'{SNAPSHOT_FORMAT_VERSION}',
        )
    start = _HEADER.size + membership_bytes
    membership = content[_HEADER.size : start]
    return Snapshot(
        index, term, membership, content[start : start + state_bytes]
    )


def _digest(content: bytes) -> bytes:
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).digest()
