"""The consensus state of one host, shared by its tasks under one lock.

No method here blocks: separate tasks sync, send and apply, and take the
lock only to read this state or to update it.
"""

from collections.abc import Callable
from collections.abc import Iterable
from concurrent.futures import Future
import random
import threading
import time
from typing import Any
from typing import Final

from baobabgap.replication._entry import Entry
from baobabgap.replication._entry import EntryKind
from baobabgap.replication._errors import NotLeader
from baobabgap.replication._errors import OutcomeUnknown
from baobabgap.replication._membership import Member
from baobabgap.replication._membership import Membership
from baobabgap.replication._status import GroupRole
from baobabgap.replication._storage import RecoveredState
from baobabgap.replication._window import EntryWindow
from baobabgap.settings import ControlHost
from baobabgap.telemetry import log_event

# The share of the election timeout that a leader has left to reconnect
# after its link has closed.
_TIMEOUT_SHARE_AFTER_LINK_CLOSED: Final = 0.5


class GroupState:
    """The term, vote, role, log and pending futures of one host.

    All access requires `lock` to be held.
    """

    def __init__(
        self,
        own_host: ControlHost,
        store: str,
        recovered: RecoveredState,
        election_timeout_s: float,
    ) -> None:
        self.own_host: Final = own_host
        # The identity of this host's data folder.
        self.store: Final = store
        self.election_timeout_s: Final = election_timeout_s
        self.lock: Final = threading.RLock()
        # Notified when there is work for the writer.
        self.writer_work: Final = threading.Condition(self.lock)
        # Notified when there is work for the applier.
        self.applier_work: Final = threading.Condition(self.lock)
        self.term = recovered.term
        self.vote = recovered.vote
        self.role = GroupRole.FOLLOWER
        # The name of the leader of the current term, or empty.
        self.leader = ''
        self.window = _recovered_window(recovered)
        self.commit_index = self.window.compacted_index
        self.applied_index = 0
        # The last index that is synced on this host.
        self.durable_index = self.window.last_index
        # The last term that is synced on this host.
        self.durable_term = recovered.term
        # The last index known to match the current leader's log.
        self.matching_index = 0
        # Entries, and term and vote, that the writer has not yet synced.
        self.unwritten_entries: list[Entry] = []
        self.vote_unwritten = False
        self.storage_ok = True
        self.stopping = False
        # Whether this leader refuses proposals during a transfer of its
        # leadership.
        self.transferring = False
        # While leading, the index of the first entry of this term.
        self.first_index_of_term = 0
        # The monotonic time of the last message from a leader.
        self.leader_heard_at = float('-inf')
        self.election_due_at = 0.0
        # While leading, the futures of proposals by entry index.
        self.future_by_index: dict[int, Future[Any]] = {}
        # Called with the lock held when there are new entries.
        self.wake_peers: Callable[[], None] = do_nothing
        # Runs a function without the lock. Futures are resolved this way,
        # since their callbacks may take other locks.
        self.run_later: Callable[[Callable[[], None]], object] = _run_now
        self.on_become_leader: Callable[[], None] = do_nothing
        self.on_step_down: Callable[[], None] = do_nothing
        self.durable_by_voter: Callable[[], dict[str, int]] = dict
        self.postpone_election()

    @property
    def membership(self) -> Membership:
        """The membership in force."""
        return self.window.membership

    @property
    def is_leader(self) -> bool:
        """Whether this host is the leader."""
        return self.role is GroupRole.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this host's store counts toward a quorum."""
        return self.membership.is_voting_store(self.own_host.name, self.store)

    @property
    def leader_host(self) -> ControlHost | None:
        """The leader's name and address, or None if unknown."""
        member: Member | None = self.membership.member(self.leader)
        return None if member is None else member.control_host

    def leader_is_recent(self) -> bool:
        """Return whether a leader sent a message in the election timeout."""
        if self.is_leader:
            return True
        silent_s = time.monotonic() - self.leader_heard_at
        return silent_s < self.election_timeout_s

    def postpone_election(self) -> None:
        """Reset the election timer to a random delay."""
        pause_s = self.election_timeout_s * random.uniform(1.0, 2.0)
        self.election_due_at = time.monotonic() + pause_s

    def adopt_term(self, term: int) -> None:
        """Become a follower in a higher term, without a vote cast."""
        if term <= self.term:
            return
        self.step_down('higher term')
        self.term = term
        self.vote = ''
        self.leader = ''
        self.matching_index = 0
        self.schedule_vote_write()

    def follow(self, term: int, leader: str) -> None:
        """Record a message from the leader of a term."""
        self.adopt_term(term)
        if self.role is not GroupRole.FOLLOWER:
            self.step_down('another leader')
        if self.leader != leader:
            self.leader = leader
            log_event('leader_known', leader=leader, term=term)
        self.leader_heard_at = time.monotonic()
        self.postpone_election()

    def handle_leader_link_closed(self) -> None:
        """Shorten the election timer, since the leader's link has closed.

        A leader that still runs reconnects immediately, so that its next
        message arrives before the shorter timer expires.
        """
        now = time.monotonic()
        remaining_s = (
            self.election_timeout_s * _TIMEOUT_SHARE_AFTER_LINK_CLOSED
        )
        self.leader_heard_at = min(
            self.leader_heard_at, now - self.election_timeout_s + remaining_s
        )
        due_at = now + remaining_s * random.uniform(1.0, 2.0)
        self.election_due_at = min(self.election_due_at, due_at)

    def step_down(self, reason: str) -> None:
        """Become a follower; fail proposals that are not committed."""
        was_leader = self.is_leader
        self.role = GroupRole.FOLLOWER
        if not was_leader:
            return
        log_event('leadership_lost', term=self.term, reason=reason)
        self.leader = ''
        self.transferring = False
        self.postpone_election()
        self._fail_uncommitted(reason)
        self.on_step_down()

    def become_leader(self) -> None:
        """Become the leader of the current term."""
        self.role = GroupRole.LEADER
        self.leader = self.own_host.name
        self.transferring = False
        log_event('leadership_won', term=self.term)
        self.on_become_leader()
        entry = self.append_as_leader(EntryKind.NO_OPERATION, b'')
        self.first_index_of_term = entry.index

    def append_as_leader(self, kind: EntryKind, data: bytes) -> Entry:
        """Append a new entry in the current term and notify the peers."""
        entry = Entry(self.window.last_index + 1, self.term, kind, data)
        self.append(entry)
        self.wake_peers()
        return entry

    def append(self, entry: Entry) -> None:
        """Append the next entry and queue it for the writer."""
        self.window.append(entry)
        self.unwritten_entries.append(entry)
        self.writer_work.notify()

    def truncate(self, first_dropped: int) -> None:
        """Drop an entry that conflicts with the leader's log and all later."""
        if first_dropped <= self.commit_index:
            raise AssertionError(f'committed entry {first_dropped} dropped')
        self.window.truncate(first_dropped)
        self.durable_index = min(self.durable_index, first_dropped - 1)
        self.matching_index = min(self.matching_index, first_dropped - 1)

    def schedule_vote_write(self) -> None:
        """Have the writer sync the term and the vote."""
        self.vote_unwritten = True
        self.writer_work.notify()

    def advance_commit(self, index: int) -> None:
        """Commit up to an index and have the entries applied."""
        if index <= self.commit_index:
            return
        self.commit_index = index
        self.applier_work.notify()

    def commit_by_quorum(self) -> None:
        """If leader, commit entries that a majority of voters has synced."""
        if not self.is_leader:
            return
        index_by_name = self.durable_by_voter()
        if self.is_voter:
            index_by_name[self.own_host.name] = self.durable_index
        indexes = sorted(index_by_name.values(), reverse=True)
        if len(indexes) < self.membership.quorum:
            return
        index = indexes[self.membership.quorum - 1]
        # Entries of earlier terms are committed only together with an
        # entry of the current term.
        if (
            index > self.commit_index
            and self.window.term_at(index) == self.term
        ):
            self.advance_commit(index)

    def not_leader(self, step: str) -> NotLeader:
        """Return a `NotLeader` error that names the known leader."""
        leader = None if self.is_leader else self.leader_host
        return NotLeader(step, leader)

    def _fail_uncommitted(self, reason: str) -> None:
        uncommitted = [
            self.future_by_index.pop(index)
            for index in list(self.future_by_index)
            if index > self.commit_index
        ]
        error = OutcomeUnknown(
            f'leadership was lost ({reason})', step='replicate'
        )
        self.run_later(lambda: fail_futures(uncommitted, error))


def _recovered_window(recovered: RecoveredState) -> EntryWindow:
    snapshot = recovered.snapshot
    if snapshot is None:
        return EntryWindow(0, 0, Membership.empty(), recovered.entries)
    return EntryWindow(
        snapshot.index,
        snapshot.term,
        Membership.from_bytes(snapshot.membership),
        recovered.entries,
    )


def fail_futures(futures: Iterable[Future[Any]], error: Exception) -> None:
    """Fail futures; called without the lock."""
    for future in futures:
        future.set_exception(error)


def _run_now(function: Callable[[], None]) -> None:
    function()


def do_nothing() -> None:
    """Default callback until `LogParts.build` sets the real one."""
