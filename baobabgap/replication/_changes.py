"""Changes of the membership: one voter's store at a time."""

from concurrent.futures import Future
from dataclasses import replace
from functools import partial
from typing import Final

from baobabgap.replication._entry import EntryKind
from baobabgap.replication._errors import MembershipChangeRefused
from baobabgap.replication._errors import OutcomeUnknown
from baobabgap.replication._membership import Member
from baobabgap.replication._membership import Membership
from baobabgap.replication._peer import Peer
from baobabgap.replication._peers import Peers
from baobabgap.replication._state import fail_futures
from baobabgap.replication._state import GroupState
from baobabgap.settings import ControlHost
from baobabgap.telemetry import log_event

LARGEST_GROUP: Final = 7


class MembershipChanges:
    """Adds, removes and repairs members, as the leader.

    A host whose disk was replaced is first demoted to a learner with its
    new store, and becomes a voter again once it has caught up. Both
    steps are committed one after the other, so that the old store can't
    count any more before the new one does.
    """

    def __init__(self, state: GroupState, peers: Peers) -> None:
        self._state: Final = state
        self._peers: Final = peers
        self._awaited_by_name: dict[str, Future[None]] = {}

    def tick(self) -> None:
        """Take the next step that is due; the lock is held."""
        if not self._may_change():
            return
        self._complete_awaited()
        for member in self._state.membership.members:
            changed = self._next_step(member)
            if changed is not None:
                self._put(self._state.membership.with_member(changed))
                log_event(
                    'member_changed',
                    member=changed.name,
                    store=changed.store,
                    voter=changed.voter,
                )
                return

    def add(self, host: ControlHost) -> Future[None]:
        """Add a host; completes once it is a voter."""
        with self._state.lock:
            membership = self._state.membership
            problem = self._cannot_change()
            if membership.member(host.name) is not None:
                problem = f'{host.name} is a member already'
            elif len(membership.members) >= LARGEST_GROUP:
                problem = f'at most {LARGEST_GROUP} hosts'
            if problem:
                return self._refused(problem)
            learner = Member.from_control_host(host, '', voter=False)
            self._put(membership.with_member(learner))
            return self._await(host.name)

    def remove(self, name: str) -> Future[None]:
        """Remove a host; completes once that is committed."""
        with self._state.lock:
            membership = self._state.membership
            smaller = membership.without_member(name)
            problem = self._cannot_change()
            if membership.member(name) is None:
                problem = f'{name} is no member'
            elif name == self._state.own.name:
                problem = 'the leader stays; transfer leadership first'
            elif not smaller.has_quorum(self._peers.answering_voters()):
                problem = 'the others would have no majority that answers'
            if problem:
                return self._refused(problem)
            self._put(smaller)
            return self._await(name)

    def fail_all(self) -> None:
        """Fail what waits: leadership is lost; the lock is held."""
        futures = list(self._awaited_by_name.values())
        self._awaited_by_name = {}
        error = OutcomeUnknown('leadership was lost', step='change members')
        if futures:
            self._state.run_later(lambda: fail_futures(futures, error))

    def _may_change(self) -> bool:
        """Tell whether the last change, and an own entry, is committed."""
        state = self._state
        return (
            state.is_leader
            and not state.transferring
            and state.commit >= state.first_led_index
            and state.commit >= state.window.membership_index
        )

    def _cannot_change(self) -> str:
        if not self._state.is_leader:
            return str(self._state.not_leader('change members'))
        if not self._may_change():
            return 'an earlier change is not committed yet'
        return ''

    def _next_step(self, member: Member) -> Member | None:
        """Return what the member should become, or None."""
        peer = self._peers.get(member.name)
        if peer is None or not peer.store:
            return None
        if peer.store != member.store:
            return self._adopt_store(member, peer)
        if member.voter or not self._has_caught_up(peer):
            return None
        return replace(member, voter=True)

    def _adopt_store(self, member: Member, peer: Peer) -> Member | None:
        learner = replace(member, store=peer.store, voter=False)
        smaller = self._state.membership.with_member(learner)
        if smaller.has_quorum(self._peers.answering_voters()):
            return learner
        return None

    def _has_caught_up(self, peer: Peer) -> bool:
        progress = peer.progress
        return not progress.probing and (
            progress.durable >= self._state.commit
        )

    def _put(self, membership: Membership) -> None:
        self._state.append_own(EntryKind.MEMBERSHIP, membership.to_bytes())

    def _await(self, name: str) -> Future[None]:
        future: Future[None] = Future()
        self._awaited_by_name[name] = future
        return future

    def _refused(self, reason: str) -> Future[None]:
        future: Future[None] = Future()
        future.set_exception(
            MembershipChangeRefused(reason, step='change members')
        )
        return future

    def _complete_awaited(self) -> None:
        for name, future in list(self._awaited_by_name.items()):
            member = self._state.membership.member(name)
            if member is None or member.voter:
                del self._awaited_by_name[name]
                self._state.run_later(partial(future.set_result, None))
