"""Which announcements of a cold upstream are news to the leader."""

from dataclasses import replace

from baobabgap.protocol import UpstreamState


def is_only_less_cold(
    earlier: UpstreamState | None, later: UpstreamState | None
) -> bool:
    """Return whether only the rest of a cold time has become shorter.

    The leader counts that down itself; it needs to know of a longer one, and
    of its end.
    """
    return (
        earlier is not None
        and later is not None
        and 0 < later.cold_left_ms <= earlier.cold_left_ms
        and replace(earlier, cold_left_ms=later.cold_left_ms) == later
    )
