"""The log file: a header, then records, each with a checksum.

A record holds the term, the vote and the entries that were synced
together. The next record is written only after the sync of the previous
one. Therefore an invalid record that a valid one follows had been synced
and is damaged, while an invalid last record is a torn write that was
never acknowledged. The checksums are seeded with a random salt from the
file header, so that bytes inside a command can't pass as a record.
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
# Magic, sequence, payload length, payload checksum, header checksum.
_RECORD_HEADER: Final = struct.Struct('<4sQIII')
_HEADER_CHECKSUM: Final = struct.Struct('<I')
# Term, length of the vote in bytes.
_PAYLOAD_HEADER: Final = struct.Struct('<QB')


@dataclass(frozen=True, slots=True)
class Record:
    """Term, vote and entries that are synced together."""

    # The current term when the record was written.
    term: int
    # The store that this host voted for in that term, or empty.
    vote: str
    # Entries; they replace all earlier ones from the first index on.
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class ScannedLog:
    """The content of a log file."""

    # The first entry of the file follows this index; the snapshot must
    # cover everything up to it.
    base_index: int
    # The valid records, oldest first.
    records: tuple[Record, ...]


def new_file_header(base_index: int) -> tuple[int, bytes]:
    """Return a new random salt and the file header that holds it."""
    salt = int.from_bytes(os.urandom(4), 'little')
    start = _FILE_HEADER.pack(
        _FILE_MAGIC, LOG_FORMAT_VERSION, salt, base_index, 0
    )[:-4]
    return salt, start + _HEADER_CHECKSUM.pack(zlib.crc32(start))


def encode_record(salt: int, sequence: int, record: Record) -> bytes:
    """Encode a record with the sequence number `sequence`."""
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
    """Decode a log file; raise `DamagedLog` with the damaged offset."""
    salt, base_index = _read_file_header(path, content)
    records: list[Record] = []
    offset = _FILE_HEADER.size
    while offset < len(content):
        payload = _payload_at(content, offset, salt)
        if payload is None:
            _check_no_valid_record_follows(path, content, offset, salt)
            break
        sequence = _sequence_at(content, offset)
        if sequence != len(records) + 1:
            raise DamagedLog(
                path,
                offset,
                f'found record {sequence}, expected record {len(records) + 1}',
            )
        records.append(_decode_payload(path, offset, payload))
        offset += _RECORD_HEADER.size + len(payload)
    return ScannedLog(base_index, tuple(records))


def _read_file_header(path: str, content: bytes) -> tuple[int, int]:
    # The header is synced before the file is renamed into place, so that
    # it can't be a torn write.
    if len(content) < _FILE_HEADER.size:
        raise DamagedLog(path, len(content), 'the file header is truncated')
    magic, version, salt, base_index, checksum = _FILE_HEADER.unpack_from(
        content
    )
    if magic != _FILE_MAGIC:
        raise DamagedLog(path, 0, 'this is not a log file')
    if checksum != zlib.crc32(content[: _FILE_HEADER.size - 4]):
        raise DamagedLog(path, 0, 'the checksum of the file header is wrong')
    if version != LOG_FORMAT_VERSION:
        raise DamagedLog(
            path,
            len(_FILE_MAGIC),
            f'format version {version}; this program reads '
            f'{LOG_FORMAT_VERSION}',
        )
    return int(salt), int(base_index)


def _payload_at(content: bytes, offset: int, salt: int) -> bytes | None:
    """Return the payload of a complete, valid record, or None."""
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


def _check_no_valid_record_follows(
    path: str, content: bytes, offset: int, salt: int
) -> None:
    """Raise `DamagedLog` if a valid record follows an invalid one."""
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
