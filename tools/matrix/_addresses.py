"""Loopback addresses that identify the processes to the relays."""

from typing import Final

# The address that processes listen on; relays connect to it.
LISTEN_HOST: Final = '127.0.0.1'
# The address that relays listen on, with the ports of the processes.
RELAY_HOST: Final = '127.0.0.2'
_NET_BY_ROLE: Final = {'control': 0, 'entry': 1, 'agent': 2, 'stand-in': 3}


def source_host(name: str) -> str:
    """Return the source address of the links that a process opens."""
    role, _, number = name.rpartition('-')
    return f'127.1.{_NET_BY_ROLE[role]}.{number}'
