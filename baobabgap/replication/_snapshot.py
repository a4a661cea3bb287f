"""Snapshots of the state machine and their file format."""

from dataclasses import dataclass
import hashlib
import struct
from typing import Final

from baobabgap.replication._errors import DamagedLog

SNAPSHOT_FORMAT_VERSION: Final = 1
_MAGIC: Final = b'baobsnap'
_DIGEST_BYTES: Final = 16
# Magic, format version, index, term, lengths of membership and state.
_HEADER: Final = struct.Struct('<8sIQQIQ')


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state of the state machine after one entry."""

    # The index of the last entry that the state includes.
    index: int
    # The term of that entry.
    term: int
    # The encoded membership in force at that entry.
    membership: bytes
    # The state, as `StateMachine.snapshot` returned it.
    state: bytes


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode the content of the snapshot file."""
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
    """Decode a snapshot file; raise `DamagedLog` if it is invalid."""
    if len(content) < _HEADER.size + _DIGEST_BYTES:
        raise DamagedLog(path, len(content), 'the snapshot is truncated')
    magic, version, index, term, membership_bytes, state_bytes = (
        _HEADER.unpack_from(content)
    )
    if magic != _MAGIC:
        raise DamagedLog(path, 0, 'this is not a snapshot file')
    if content[-_DIGEST_BYTES:] != _digest(content[:-_DIGEST_BYTES]):
        raise DamagedLog(path, 0, 'the checksum of the snapshot is wrong')
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
