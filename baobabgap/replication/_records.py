"""The file of the log: a header, then records, each with a checksum.

One record holds all that was synced together: the term, the vote and the
entries. The next record is written only after the sync of the one before
it. So an invalid record with a valid one after it was synced once and is
damage, while an invalid end is a write that was never acknowledged. The
checksums start from a random salt in the header of the file, so that
bytes inside a command can't be taken for a record.
"""

from dataclasses import dataclass
import os
import struct
from typing import Final
import zlib

from baobabgap.replication._entry import decode_entries
from baobabgap.replication._entry import encode_entries
from baobabgap.replication._entry import Entry
from baobabgap.replication._errors import DamagedLog

LOG_FORMAT_VERSION: Final = 1
_FILE_MAGIC: Final = b'baobalog'
_RECORD_MAGIC: Final = b'\xb5rec'
# Magic, format version, salt, base index, checksum.
_FILE_HEADER: Final = struct.Struct('<8sIIQI')
# Magic, sequence, payload bytes, payload checksum, header checksum.
_RECORD_HEADER: Final = struct.Struct('<4sQIII')
_HEADER_CHECKSUM: Final = struct.Struct('<I')
# Term, bytes of the vote.
_PAYLOAD_HEADER: Final = struct.Struct('<QB')


@dataclass(frozen=True, slots=True)
class Record:
    """What was synced together."""

    # The current term at the time of writing.
    term: int
    # The store that got this host's vote in that term, or empty.
    vote: str
    # Entries; the first one replaces all from its index on.
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class ScannedLog:
    """What a log file holds."""

    # The first entry of the file comes after this index; what is before
    # must be in the snapshot.
    base_index: int
    # The valid records, oldest first.
    records: tuple[Record, ...]


def new_file_header(base_index: int) -> tuple[int, bytes]:
    """Return a fresh salt and the file header that carries it."""
    salt = int.from_bytes(os.urandom(4), 'little')
    start = _FILE_HEADER.pack(
        _FILE_MAGIC, LOG_FORMAT_VERSION, salt, base_index, 0
    )[:-4]
    return salt, start + _HEADER_CHECKSUM.pack(zlib.crc32(start))


def encode_record(salt: int, sequence: int, record: Record) -> bytes:
    """Return the bytes of the record that is number `sequence`."""
    vote = record.vote.encode()
    payload = b''.join(
        (
            _PAYLOAD_HEADER.pack(record.term, len(vote)),
            vote,
            encode_entries(record.entries),
        )
    )
    start = _RECORD_HEADER.pack(
        _RECORD_MAGIC, sequence, len(payload), zlib.crc32(payload, salt), 0
    )[:-4]
    checksum = _HEADER_CHECKSUM.pack(zlib.crc32(start, salt))
    return start + checksum + payload


def scan_log(path: str, content: bytes) -> ScannedLog:
    """Read a log file; raise `DamagedLog` with the offset of the damage."""
    salt, base_index = _read_file_header(path, content)
    records: list[Record] = []
    offset = _FILE_HEADER.size
    while offset < len(content):
        payload = _payload_at(content, offset, salt)
        if payload is None:
            _refuse_damaged_middle(path, content, offset, salt)
            break
        sequence = _sequence_at(content, offset)
        if sequence != len(records) + 1:
            raise DamagedLog(
                path,
                offset,
                f'record {sequence} stands where {len(records) + 1} belongs',
            )
        records.append(_decode_payload(path, offset, payload))
        offset += _RECORD_HEADER.size + len(payload)
    return ScannedLog(base_index, tuple(records))


def _read_file_header(path: str, content: bytes) -> tuple[int, int]:
    # The header is synced before the file gets its name: never torn.
    if len(content) < _FILE_HEADER.size:
        raise DamagedLog(path, len(content), 'the file header is cut short')
    magic, version, salt, base_index, checksum = _FILE_HEADER.unpack_from(
        content
    )
    if magic != _FILE_MAGIC:
        raise DamagedLog(path, 0, 'this is no log file')
    if checksum != zlib.crc32(content[: _FILE_HEADER.size - 4]):
        raise DamagedLog(path, 0, 'wrong checksum of the file header')
    if version != LOG_FORMAT_VERSION:
        raise DamagedLog(
            path,
            len(_FILE_MAGIC),
            f'format version {version}; this program reads '
            f'{LOG_FORMAT_VERSION}',
        )
    return int(salt), int(base_index)


def _payload_at(content: bytes, offset: int, salt: int) -> bytes | None:
    """Return the payload of a whole and valid record, else None."""
    start = offset + _RECORD_HEADER.size
    if start > len(content):
        return None
    magic, _, length, checksum, header_checksum = _RECORD_HEADER.unpack_from(
        content, offset
    )
    if magic != _RECORD_MAGIC:
        return None
    if header_checksum != zlib.crc32(content[offset : start - 4], salt):
        return None
    payload = content[start : start + length]
    if len(payload) < length or checksum != zlib.crc32(payload, salt):
        return None
    return payload


def _sequence_at(content: bytes, offset: int) -> int:
    return int(_RECORD_HEADER.unpack_from(content, offset)[1])


def _refuse_damaged_middle(
    path: str, content: bytes, offset: int, salt: int
) -> None:
    """Raise if a valid record stands anywhere after an invalid one."""
    later = content.find(_RECORD_MAGIC, offset + 1)
    while later >= 0:
        if _payload_at(content, later, salt) is not None:
            raise DamagedLog(
                path, offset, f'a valid record follows at byte {later}'
            )
        later = content.find(_RECORD_MAGIC, later + 1)


def _decode_payload(path: str, offset: int, payload: bytes) -> Record:
    try:
        term, vote_bytes = _PAYLOAD_HEADER.unpack_from(payload)
        start = _PAYLOAD_HEADER.size + vote_bytes
        vote = payload[_PAYLOAD_HEADER.size : start].decode()
        return Record(term, vote, tuple(decode_entries(payload[start:])))
    except (struct.error, ValueError) as error:
        raise DamagedLog(path, offset, str(error)) from error
