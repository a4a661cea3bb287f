"""Collects the status of a host from the parts of its log."""

from baobabgap.replication._peers import Peers
from baobabgap.replication._state import GroupState
from baobabgap.replication._status import LogStatus
from baobabgap.replication._status import MemberStatus
from baobabgap.replication._storage import Storage


def read_status(
    state: GroupState, peers: Peers, storage: Storage
) -> LogStatus:
    """Return the current status."""
    disk_bytes = storage.used_bytes()
    with state.lock:
        window = state.window
        return LogStatus(
            name=state.own_host.name,
            role=state.role,
            leader=state.leader,
            term=state.term,
            commit=state.commit_index,
            applied=state.applied_index,
            first_index=window.compacted_index + 1,
            last_index=window.last_index,
            durable=state.durable_index,
            members=_member_statuses(state, peers),
            disk_bytes=disk_bytes,
            storage_ok=state.storage_ok,
        )


def _member_statuses(
    state: GroupState, peers: Peers
) -> tuple[MemberStatus, ...]:
    # A promotion that is not committed can be lost with the leader.
    committed = state.window.membership_at(state.commit_index)
    return tuple(
        MemberStatus(
            name=member.name,
            address=member.control_host.address,
            store=member.store,
            voter=member.voter
            and committed.is_voting_store(member.name, member.store),
            durable=_durable_index_of(member.name, state, peers),
        )
        for member in state.membership.members
    )


def _durable_index_of(name: str, state: GroupState, peers: Peers) -> int:
    if name == state.own_host.name:
        return state.durable_index
    peer = peers.get(name)
    if peer is None or not state.is_leader:
        return 0
    return peer.progress.durable_index
