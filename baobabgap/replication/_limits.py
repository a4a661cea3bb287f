"""Size limits for memory, disk and messages."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogLimits:
    """Limits for log compaction and for replication traffic."""

    # A snapshot is due after this many bytes of applied entries, or after
    # the size of the last snapshot if that is larger, so that the cost of
    # snapshots stays proportional to that of entries.
    snapshot_after_bytes: int = 16 * 1024 * 1024
    # Bytes of entries before the snapshot that stay in memory, so that a
    # host that was disconnected briefly needs no snapshot.
    kept_bytes: int = 4 * 1024 * 1024
    # Largest size of the entries in one message, unless a single entry
    # is larger.
    message_bytes: int = 256 * 1024
    # Most bytes of entries sent to a peer and not yet acknowledged as
    # durable.
    unacknowledged_bytes: int = 4 * 1024 * 1024
    # Most messages with entries sent to a peer and not yet acknowledged.
    unacknowledged_messages: int = 1
    # The size of one part of a snapshot.
    snapshot_part_bytes: int = 512 * 1024
