"""Sizes that bound memory, disk and messages."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogLimits:
    """When to compact, and how much to send at once."""

    # Bytes of applied entries after which a snapshot is due; at least as
    # many as the last snapshot had, so that its cost stays in proportion.
    snapshot_after_bytes: int = 16 * 1024 * 1024
    # Bytes of entries before the snapshot that stay in memory, so that a
    # host that was away for a moment needs no snapshot.
    kept_bytes: int = 4 * 1024 * 1024
    # The most entries in one message, unless one entry is larger.
    message_bytes: int = 256 * 1024
    # The most that is sent to a peer and not yet durable there.
    unacknowledged_bytes: int = 4 * 1024 * 1024
    # The most messages that a peer gets before it has answered.
    unacknowledged_messages: int = 1
    # The size of one piece of a snapshot.
    snapshot_part_bytes: int = 512 * 1024
