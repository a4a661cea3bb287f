"""Elections: pre-vote, votes, quorum checks, leadership transfer."""

from collections.abc import Callable
import random
import time
from typing import Final

from baobabgap.replication._membership import Membership
from baobabgap.replication._messages import VoteAnswer
from baobabgap.replication._messages import VoteRequest
from baobabgap.replication._state import GroupState
from baobabgap.replication._status import GroupRole
from baobabgap.replication._writer import LogWriter
from baobabgap.telemetry import log_event

# The share of the election timeout within which a host that has just started
# seeks an election; doubles with each one.
_EARLY_SHARE: Final = 0.2
# Elections that it seeks so before it waits for the timeout.
_MOST_EARLY_ELECTIONS: Final = 3


class Election:
    """Requests and grants votes.

    Before an election a host runs a pre-vote, which does not change its
    term. Hosts that receive messages from a leader refuse it. Therefore a
    host that returns after a network partition keeps its old term and
    does not disrupt the leader. All methods are called with the lock of
    `GroupState` held.

    If all hosts have restarted, none waits for the election timeout: a host
    that hasn't heard of a leader since its start runs a pre-vote soon after it
    is linked to a majority. If a leader lives, the hosts that hear from it
    refuse.
    """

    def __init__(
        self,
        state: GroupState,
        writer: LogWriter,
        broadcast: Callable[[object], None],
        answering_voters: Callable[[], set[str]],
        linked_voters: Callable[[], set[str]],
    ) -> None:
        self._state: Final = state
        self._writer: Final = writer
        self._broadcast: Final = broadcast
        self._answering_voters: Final = answering_voters
        self._pre_votes: set[str] = set()
        self._votes: set[str] = set()
        self._pre_vote_term = 0
        self._linked_voters: Final = linked_voters
        # Elections that this host may seek before the timeout, as nobody has
        # led in the life of this process.
        self._early_left = _MOST_EARLY_ELECTIONS
        # When to seek the next one, once a majority is linked.
        self._early_at = float('inf')

    def tick(self) -> None:
        """Check the quorum as the leader, else the election timer."""
        if self._state.is_leader:
            self._early_left = 0
            self._check_quorum()
        elif time.monotonic() >= self.due_at():
            self._state.postpone_election()
            self._early_left = max(0, self._early_left - 1)
            self._postpone_early()
            self._start_pre_vote()

    def due_at(self) -> float:
        """Return the monotonic time of the next election, or infinity."""
        if self._state.is_leader:
            return float('inf')
        return min(self._state.election_due_at, self._early_due_at())

    def start_without_pre_vote(self) -> None:
        """Start an election that the leader has requested."""
        if self._may_start_election():
            self._start_election(transfer=True)

    def handle_vote_request(
        self, request: VoteRequest, send_answer: Callable[[VoteAnswer], None]
    ) -> None:
        """Grant or refuse a vote; the answer is sent once it is synced."""
        state = self._state
        if request.pre_vote:
            would_grant = self._would_grant(request)
            if would_grant:
                self._postpone_early()
            send_answer(self._make_vote_answer(request, would_grant))
            return
        if state.leader_is_recent() and not request.transfer:
            send_answer(self._make_vote_answer(request, False))
            return
        state.adopt_term(request.term)
        granted = (
            request.term == state.term
            and state.vote in ('', request.store)
            and self._is_up_to_date(request)
        )
        if granted and not state.vote:
            state.vote = request.store
            state.schedule_vote_write()
        if granted:
            state.postpone_election()
            self._postpone_early()
        reply = self._make_vote_answer(request, granted)
        self._writer.after_sync(
            f'vote {request.term} {request.store}', lambda: send_answer(reply)
        )

    def handle_vote_answer(
        self, name: str, store: str, answer: VoteAnswer
    ) -> None:
        """Count an answer if its store is a voter in the membership."""
        state = self._state
        if not answer.granted:
            state.adopt_term(answer.term)
            return
        if not state.membership.is_voting_store(name, store):
            return
        if answer.pre_vote:
            if answer.asked_term == self._pre_vote_term:
                self._pre_votes.add(name)
                self._count_pre_votes()
        elif answer.asked_term == state.term:
            self._votes.add(name)
            self._count_votes()

    def _early_due_at(self) -> float:
        """Return when to seek an election before the timeout, or infinity."""
        state = self._state
        may_seek = (
            self._early_left > 0
            and state.leader_heard_at == float('-inf')
            and state.is_voter
            and state.membership.has_quorum(self._linked_voters())
        )
        if not may_seek:
            self._early_at = float('inf')
        elif self._early_at == float('inf'):
            self._seek_early_after(0.0)
        return self._early_at

    def _seek_early_after(self, windows: float) -> None:
        """Choose a random time in the window after this many windows."""
        window_s = _EARLY_SHARE * self._state.election_timeout_s
        window_s *= 2 ** (_MOST_EARLY_ELECTIONS - self._early_left)
        self._early_at = time.monotonic() + window_s * (
            windows + random.random()
        )

    def _postpone_early(self) -> None:
        """Leave time for the election that has begun here or elsewhere."""
        self._seek_early_after(1.0)

    def _check_quorum(self) -> None:
        """Step down if no majority answered within the election timeout."""
        state = self._state
        if not state.membership.has_quorum(self._answering_voters()):
            state.step_down('no majority answers')

    def _may_start_election(self) -> bool:
        state = self._state
        return state.is_voter and state.storage_ok and not state.stopping

    def _start_pre_vote(self) -> None:
        if not self._may_start_election():
            return
        state = self._state
        state.step_down('no leader')
        state.leader = ''
        self._pre_vote_term = state.term + 1
        self._pre_votes = {state.own_host.name}
        self._broadcast(
            self._make_vote_request(self._pre_vote_term, True, False)
        )
        self._count_pre_votes()

    def _count_pre_votes(self) -> None:
        state = self._state
        if state.is_leader or self._pre_vote_term != state.term + 1:
            return
        if (
            state.membership.has_quorum(self._pre_votes)
            and self._may_start_election()
        ):
            self._start_election(transfer=False)

    def _start_election(self, transfer: bool) -> None:
        state = self._state
        state.adopt_term(state.term + 1)
        state.role = GroupRole.CANDIDATE
        state.vote = state.store
        state.postpone_election()
        self._pre_votes = set()
        self._votes = set()
        term = state.term
        log_event('election_sought', term=term, transfer=transfer)
        self._broadcast(self._make_vote_request(term, False, transfer))
        self._writer.after_sync('own vote', lambda: self._count_own_vote(term))

    def _count_own_vote(self, term: int) -> None:
        if self._state.term == term:
            self._votes.add(self._state.own_host.name)
            self._count_votes()

    def _count_votes(self) -> None:
        state = self._state
        if state.role is not GroupRole.CANDIDATE:
            return
        membership: Membership = state.membership
        if membership.has_quorum(self._votes):
            state.become_leader()

    def _would_grant(self, request: VoteRequest) -> bool:
        state = self._state
        if state.leader_is_recent() or not state.storage_ok:
            return False
        return request.term > state.term and self._is_up_to_date(request)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        window = self._state.window
        own = (window.last_term, window.last_index)
        return (request.last_term, request.last_index) >= own

    def _make_vote_request(
        self, term: int, pre_vote: bool, transfer: bool
    ) -> VoteRequest:
        window = self._state.window
        return VoteRequest(
            group=self._state.membership.group,
            term=term,
            store=self._state.store,
            last_index=window.last_index,
            last_term=window.last_term,
            pre_vote=pre_vote,
            transfer=transfer,
        )

    def _make_vote_answer(
        self, request: VoteRequest, granted: bool
    ) -> VoteAnswer:
        return VoteAnswer(
            asked_term=request.term,
            term=self._state.term,
            granted=granted,
            pre_vote=request.pre_vote,
        )
