"""Founding a group, once, from hosts with empty data folders."""

import os
from typing import Final

from baobabgap.replication._entry import Entry
from baobabgap.replication._entry import EntryKind
from baobabgap.replication._membership import Member
from baobabgap.replication._membership import Membership
from baobabgap.replication._messages import Introduce
from baobabgap.replication._peers import Peers
from baobabgap.replication._state import GroupState
from baobabgap.settings import ControlHost
from baobabgap.telemetry import log_event

_GROUP_BYTES: Final = 8
_FIRST_TERM: Final = 1


class Founding:
    """Lets one host found the group, unless an older group may exist.

    The first of the configured hosts founds the group. It does so only if
    its own store is empty, every other host answers that its store is
    empty too, and all hosts are configured with the same hosts. Therefore
    a first host that lost its disk can't found a second group while any
    host that belongs to the first one is present, nor while any host does
    not answer.
    """

    def __init__(
        self,
        state: GroupState,
        configured: tuple[ControlHost, ...],
        peers: Peers,
        may_found: bool,
    ) -> None:
        self._state: Final = state
        self._configured: Final = configured
        self._may_found: Final = may_found
        self._peers: Final = peers
        self._last_obstacle = ''

    def introduce(self) -> Introduce:
        """Return the introduction of this host, with its store and group."""
        return Introduce(
            name=self._state.own_host.name,
            store=self._state.store,
            group=self._state.membership.group,
            configured=self._configured_texts(),
        )

    def tick(self) -> None:
        """Found the group if possible; the lock is held."""
        state = self._state
        if state.membership.group or state.window.last_index:
            return
        if (
            not self._may_found
            or self._configured[0].name != state.own_host.name
        ):
            return
        obstacle = self._find_obstacle()
        if obstacle != self._last_obstacle:
            self._last_obstacle = obstacle
            log_event('founding_waits', reason=obstacle)
        if not obstacle:
            self._found_group()

    def _configured_texts(self) -> tuple[str, ...]:
        return tuple(
            f'{host.name}={host.address}' for host in self._configured
        )

    def _find_obstacle(self) -> str:
        """Return why the group can't be founded now, or an empty string."""
        if not self._state.storage_ok:
            return 'the own disk refuses writes'
        for host in self._configured[1:]:
            peer = self._peers.get(host.name)
            introduction = peer.introduction if peer is not None else None
            if introduction is None:
                return f'{host.name} does not answer'
            if introduction.group:
                return f'{host.name} belongs to a group already'
            if introduction.configured != self._configured_texts():
                return f'{host.name} names other control hosts'
        return ''

    def _found_group(self) -> None:
        state = self._state
        membership = Membership(
            os.urandom(_GROUP_BYTES).hex(),
            tuple(self._as_member(host) for host in self._configured),
        )
        state.adopt_term(_FIRST_TERM)
        state.append(
            Entry(1, _FIRST_TERM, EntryKind.MEMBERSHIP, membership.to_bytes())
        )
        state.election_due_at = 0.0
        log_event('group_founded', group=membership.group)

    def _as_member(self, host: ControlHost) -> Member:
        peer = self._peers.get(host.name)
        store = peer.store if peer is not None else self._state.store
        return Member.from_control_host(host, store, voter=True)
