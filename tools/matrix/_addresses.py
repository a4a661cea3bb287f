"""Loopback addresses by which the relays tell the processes apart."""

from typing import Final

# Where processes listen, behind the relays.
LISTEN_HOST: Final = '127.0.0.1'
# Where the relays listen, on the same ports.
RELAY_HOST: Final = '127.0.0.2'
_NET_BY_ROLE: Final = {'control': 0, 'entry': 1, 'agent': 2, 'stand-in': 3}


def source_host(name: str) -> str:
    """Return the address that a process dials links from."""
    role, _, number = name.rpartition('-')
    return f'127.1.{_NET_BY_ROLE[role]}.{number}'
