"""Membership changes, each of which affects one voter's store."""

from concurrent.futures import Future
from dataclasses import dataclass
from dataclasses import replace
from functools import partial
from typing import Final

from baobabgap.replication._entry import EntryKind
from baobabgap.replication._errors import MemberRemoved
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


@dataclass(frozen=True, slots=True)
class _RequestedChange:
    """A change that a caller waits for."""

    # The host that is added or removed.
    name: str
    # Whether it is to become a voter.
    is_addition: bool
    # Completes with the change; see `MembershipChanges.add` and `remove`.
    future: Future[None]


class MembershipChanges:
    """Adds, removes and repairs members; runs on the leader.

    A host whose disk was replaced first becomes a learner with its new
    store, and a voter again once it has caught up. The second change
    starts only after the first one is committed, so that the old store
    no longer counts toward the quorum when the new one starts to.
    """

    def __init__(self, state: GroupState, peers: Peers) -> None:
        self._state: Final = state
        self._peers: Final = peers
        # Several may concern one host: a learner can be removed again.
        self._requested: list[_RequestedChange] = []

    def tick(self) -> None:
        """Start the next due change, if any; the lock is held."""
        if not self._may_change():
            return
        self._complete_requested()
        for member in self._state.membership.members:
            changed = self._due_change(member)
            if changed is not None:
                self._append_membership(
                    self._state.membership.with_member(changed)
                )
                log_event(
                    'member_changed',
                    member=changed.name,
                    store=changed.store,
                    voter=changed.voter,
                )
                return

    def add(self, host: ControlHost) -> Future[None]:
        """Add a host; completes once it is a voter.

        If the host never catches up, the future fails with `MemberRemoved`
        when the host is removed, or with `OutcomeUnknown` when this host no
        longer leads.
        """
        with self._state.lock:
            membership = self._state.membership
            obstacle = self._change_obstacle()
            if membership.member(host.name) is not None:
                obstacle = f'{host.name} is a member already'
            elif len(membership.members) >= LARGEST_GROUP:
                obstacle = f'at most {LARGEST_GROUP} hosts'
            if obstacle:
                return self._refused_future(obstacle)
            learner = Member.from_control_host(host, '', voter=False)
            self._append_membership(membership.with_member(learner))
            return self._register(host.name, is_addition=True)

    def remove(self, name: str) -> Future[None]:
        """Remove a host; completes once the change is committed."""
        with self._state.lock:
            membership = self._state.membership
            smaller = membership.without_member(name)
            obstacle = self._change_obstacle()
            if membership.member(name) is None:
                obstacle = f'{name} is no member'
            elif name == self._state.own_host.name:
                obstacle = 'the leader stays; transfer leadership first'
            elif not smaller.has_quorum(self._peers.answering_voters()):
                obstacle = 'the others would have no majority that answers'
            if obstacle:
                return self._refused_future(obstacle)
            self._append_membership(smaller)
            return self._register(name, is_addition=False)

    def fail_all(self) -> None:
        """Fail all futures after the loss of leadership; the lock is held."""
        futures = [change.future for change in self._requested]
        self._requested = []
        error = OutcomeUnknown('leadership was lost', step='change members')
        if futures:
            self._state.run_later(lambda: fail_futures(futures, error))

    def _may_change(self) -> bool:
        """Return whether the leader may start a change.

        An entry of its own term and the last change must be committed.
        """
        state = self._state
        return (
            state.is_leader
            and not state.transferring
            and state.commit_index >= state.first_index_of_term
            and state.commit_index >= state.window.membership_index
        )

    def _change_obstacle(self) -> str:
        if not self._state.is_leader:
            return str(self._state.not_leader('change members'))
        if not self._may_change():
            return 'an earlier change is not committed yet'
        return ''

    def _due_change(self, member: Member) -> Member | None:
        """Return the member after its next change, or None if none is due."""
        peer = self._peers.get(member.name)
        if peer is None or not peer.store:
            return None
        if peer.store != member.store:
            return self._learner_with_new_store(member, peer)
        if member.voter or not self._has_caught_up(peer):
            return None
        return replace(member, voter=True)

    def _learner_with_new_store(
        self, member: Member, peer: Peer
    ) -> Member | None:
        learner = replace(member, store=peer.store, voter=False)
        smaller = self._state.membership.with_member(learner)
        if smaller.has_quorum(self._peers.answering_voters()):
            return learner
        return None

    def _has_caught_up(self, peer: Peer) -> bool:
        progress = peer.progress
        return not progress.probing and (
            progress.durable_index >= self._state.commit_index
        )

    def _append_membership(self, membership: Membership) -> None:
        self._state.append_as_leader(
            EntryKind.MEMBERSHIP, membership.to_bytes()
        )

    def _register(self, name: str, *, is_addition: bool) -> Future[None]:
        future: Future[None] = Future()
        self._requested.append(_RequestedChange(name, is_addition, future))
        return future

    def _refused_future(self, reason: str) -> Future[None]:
        future: Future[None] = Future()
        future.set_exception(
            MembershipChangeRefused(reason, step='change members')
        )
        return future

    def _complete_requested(self) -> None:
        """Complete the futures of changes; the last one is committed."""
        pending = []
        for change in self._requested:
            member = self._state.membership.member(change.name)
            if not change.is_addition or (member and member.voter):
                finish = partial(change.future.set_result, None)
            elif member is None:
                finish = partial(
                    change.future.set_exception,
                    MemberRemoved(
                        f'{change.name} was removed before it caught up',
                        step='change members',
                    ),
                )
            else:
                pending.append(change)
                continue
            self._state.run_later(finish)
        self._requested = pending
