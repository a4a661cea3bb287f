"""The state that the tasks of one host share, behind one lock.

No method here blocks: syncing, sending and applying are done by tasks of
their own, which take the lock only to read or to report.
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

# The share of an election timeout that is left to a leader whose link has
# closed: enough to dial again.
_REST_AFTER_LOST_LINK: Final = 0.5


class GroupState:
    """One host's term, vote, part in the group, log and futures.

    Everything is read and changed with `lock` held.
    """

    def __init__(
        self,
        own: ControlHost,
        store: str,
        recovered: RecoveredState,
        election_timeout_s: float,
    ) -> None:
        self.own: Final = own
        # The identity of this host's data folder.
        self.store: Final = store
        self.election_timeout_s: Final = election_timeout_s
        self.lock: Final = threading.RLock()
        # Notified when the writer has something to do.
        self.writer_work: Final = threading.Condition(self.lock)
        # Notified when the applier has something to do.
        self.applier_work: Final = threading.Condition(self.lock)
        self.term = recovered.term
        self.vote = recovered.vote
        self.role = GroupRole.FOLLOWER
        # The name of the leader of the current term, or empty.
        self.leader = ''
        self.window = _recovered_window(recovered)
        self.commit = self.window.compacted_index
        self.applied = 0
        # The last entry that is synced here.
        self.durable = self.window.last_index
        # The last term that is synced here.
        self.durable_term = recovered.term
        # The last entry known to agree with the current leader's log.
        self.confirmed = 0
        # Entries, or the term and vote, that the writer has yet to sync.
        self.unwritten: list[Entry] = []
        self.vote_unwritten = False
        self.storage_ok = True
        self.stopping = False
        # Whether a leader refuses proposals since it hands over.
        self.transferring = False
        # The first index of the own term, while leading.
        self.first_led_index = 0
        # When a leader was last heard of, by the monotonic clock.
        self.leader_heard_at = float('-inf')
        self.election_due_at = 0.0
        # Futures of proposals by their index, while leading.
        self.future_by_index: dict[int, Future[Any]] = {}
        # Called, with the lock held, when there are new entries.
        self.wake_peers: Callable[[], None] = _do_nothing
        # Runs a function later, without the lock: futures are resolved
        # there, since their callbacks may take other locks.
        self.run_later: Callable[[Callable[[], None]], object] = _run_now
        self.on_lead: Callable[[], None] = _do_nothing
        self.on_stand_down: Callable[[], None] = _do_nothing
        self.durable_by_voter: Callable[[], dict[str, int]] = dict
        self.postpone_election()

    @property
    def membership(self) -> Membership:
        """The membership in force."""
        return self.window.membership

    @property
    def is_leader(self) -> bool:
        """Tell whether this host leads."""
        return self.role is GroupRole.LEADER

    @property
    def is_voter(self) -> bool:
        """Tell whether this host's store counts toward a quorum."""
        return self.membership.counts(self.own.name, self.store)

    @property
    def leader_host(self) -> ControlHost | None:
        """The leader's name and address, as far as known."""
        member: Member | None = self.membership.member(self.leader)
        return None if member is None else member.control_host

    def leader_is_recent(self) -> bool:
        """Tell whether a leader was heard of within an election timeout."""
        if self.is_leader:
            return True
        silent_s = time.monotonic() - self.leader_heard_at
        return silent_s < self.election_timeout_s

    def postpone_election(self) -> None:
        """Wait for a random while before seeking election."""
        pause_s = self.election_timeout_s * random.uniform(1.0, 2.0)
        self.election_due_at = time.monotonic() + pause_s

    def adopt_term(self, term: int) -> None:
        """Follow in a higher term, with the vote still free."""
        if term <= self.term:
            return
        self.stand_down('higher term')
        self.term = term
        self.vote = ''
        self.leader = ''
        self.confirmed = 0
        self.write_vote()

    def follow(self, term: int, leader: str) -> None:
        """Take note of a message from the leader of a term."""
        self.adopt_term(term)
        if self.role is not GroupRole.FOLLOWER:
            self.stand_down('another leader')
        if self.leader != leader:
            self.leader = leader
            log_event('leader_known', leader=leader, term=term)
        self.leader_heard_at = time.monotonic()
        self.postpone_election()

    def lose_leader(self) -> None:
        """The leader's link has closed: wait less for it from now on.

        A leader that is alive dials again at once, and is heard of before
        the shorter time is over.
        """
        now = time.monotonic()
        rest_s = self.election_timeout_s * _REST_AFTER_LOST_LINK
        self.leader_heard_at = min(
            self.leader_heard_at, now - self.election_timeout_s + rest_s
        )
        due_at = now + rest_s * random.uniform(1.0, 2.0)
        self.election_due_at = min(self.election_due_at, due_at)

    def stand_down(self, reason: str) -> None:
        """Become a follower; what is not committed has no known outcome."""
        was_leader = self.is_leader
        self.role = GroupRole.FOLLOWER
        if not was_leader:
            return
        log_event('leadership_lost', term=self.term, reason=reason)
        self.leader = ''
        self.transferring = False
        self.postpone_election()
        self._fail_uncommitted(reason)
        self.on_stand_down()

    def lead(self) -> None:
        """Become the leader of the current term."""
        self.role = GroupRole.LEADER
        self.leader = self.own.name
        self.transferring = False
        log_event('leadership_won', term=self.term)
        self.on_lead()
        entry = self.append_own(EntryKind.NO_OPERATION, b'')
        self.first_led_index = entry.index

    def append_own(self, kind: EntryKind, data: bytes) -> Entry:
        """Append an entry as the leader."""
        entry = Entry(self.window.last_index + 1, self.term, kind, data)
        self.append(entry)
        self.wake_peers()
        return entry

    def append(self, entry: Entry) -> None:
        """Append the next entry and have it written."""
        self.window.append(entry)
        self.unwritten.append(entry)
        self.writer_work.notify()

    def truncate(self, first_dropped: int) -> None:
        """Drop entries that the leader's log does not have."""
        if first_dropped <= self.commit:
            raise AssertionError(f'committed entry {first_dropped} dropped')
        self.window.truncate(first_dropped)
        self.durable = min(self.durable, first_dropped - 1)
        self.confirmed = min(self.confirmed, first_dropped - 1)

    def write_vote(self) -> None:
        """Have the term and the vote written."""
        self.vote_unwritten = True
        self.writer_work.notify()

    def advance_commit(self, index: int) -> None:
        """Commit up to an index and have the machine apply it."""
        if index <= self.commit:
            return
        self.commit = index
        self.applier_work.notify()

    def commit_by_quorum(self) -> None:
        """As the leader, commit what a majority of voters has synced."""
        if not self.is_leader:
            return
        index_by_name = self.durable_by_voter()
        if self.is_voter:
            index_by_name[self.own.name] = self.durable
        indexes = sorted(index_by_name.values(), reverse=True)
        if len(indexes) < self.membership.quorum:
            return
        index = indexes[self.membership.quorum - 1]
        # Entries of earlier terms are committed only through a later one.
        if index > self.commit and self.window.term_at(index) == self.term:
            self.advance_commit(index)

    def not_leader(self, step: str) -> NotLeader:
        """Return the error that names the leader."""
        leader = None if self.is_leader else self.leader_host
        return NotLeader(step, leader)

    def _fail_uncommitted(self, reason: str) -> None:
        uncommitted = [
            self.future_by_index.pop(index)
            for index in list(self.future_by_index)
            if index > self.commit
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
    """Fail futures; to be called without the lock."""
    for future in futures:
        future.set_exception(error)


def _run_now(function: Callable[[], None]) -> None:
    function()


def _do_nothing() -> None:
    """Stand in until the parts are wired together."""
