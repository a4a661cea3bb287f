"""Elections: pre-vote, votes, check-quorum and handing over."""

from collections.abc import Callable
import time
from typing import Final

from baobabgap.replication._membership import Membership
from baobabgap.replication._messages import VoteAnswer
from baobabgap.replication._messages import VoteRequest
from baobabgap.replication._state import GroupState
from baobabgap.replication._status import GroupRole
from baobabgap.replication._writer import LogWriter
from baobabgap.telemetry import log_event


class Election:
    """Seeks and grants votes; all methods run with the state's lock held.

    A host first asks whether it would win (pre-vote), without touching
    its term. Hosts that hear a leader say no. So a host that was cut off
    for long returns with its old term and disturbs nobody.
    """

    def __init__(
        self,
        state: GroupState,
        writer: LogWriter,
        broadcast: Callable[[object], None],
        answering_voters: Callable[[], set[str]],
    ) -> None:
        self._state: Final = state
        self._writer: Final = writer
        self._broadcast: Final = broadcast
        self._answering_voters: Final = answering_voters
        self._pre_votes: set[str] = set()
        self._votes: set[str] = set()
        self._pre_vote_term = 0

    def tick(self) -> None:
        """Seek election or give up leadership if it is time."""
        if self._state.is_leader:
            self._check_quorum()
        elif time.monotonic() >= self._state.election_due_at:
            self._state.postpone_election()
            self._seek_pre_votes()

    def seek_at_once(self) -> None:
        """Seek election without a pre-vote: the leader asked for it."""
        if self._may_seek():
            self._seek_votes(transfer=True)

    def consider(
        self, request: VoteRequest, answer: Callable[[VoteAnswer], None]
    ) -> None:
        """Grant or refuse a vote; a grant is answered once it is synced."""
        state = self._state
        if request.pre_vote:
            answer(self._vote_answer(request, self._would_grant(request)))
            return
        if state.leader_is_recent() and not request.transfer:
            answer(self._vote_answer(request, False))
            return
        state.adopt_term(request.term)
        granted = (
            request.term == state.term
            and state.vote in ('', request.store)
            and self._is_up_to_date(request)
        )
        if granted and not state.vote:
            state.vote = request.store
            state.write_vote()
        if granted:
            state.postpone_election()
        reply = self._vote_answer(request, granted)
        self._writer.after_sync(
            f'vote {request.term} {request.store}', lambda: answer(reply)
        )

    def take_answer(self, name: str, store: str, answer: VoteAnswer) -> None:
        """Count an answer; only stores of the membership count."""
        state = self._state
        if not answer.granted:
            state.adopt_term(answer.term)
            return
        if not state.membership.counts(name, store):
            return
        if answer.pre_vote:
            if answer.asked_term == self._pre_vote_term:
                self._pre_votes.add(name)
                self._count_pre_votes()
        elif answer.asked_term == state.term:
            self._votes.add(name)
            self._count_votes()

    def _check_quorum(self) -> None:
        """Stand down if no majority has answered for too long."""
        state = self._state
        if not state.membership.has_quorum(self._answering_voters()):
            state.stand_down('no majority answers')

    def _may_seek(self) -> bool:
        state = self._state
        return state.is_voter and state.storage_ok and not state.stopping

    def _seek_pre_votes(self) -> None:
        if not self._may_seek():
            return
        state = self._state
        state.stand_down('no leader')
        state.leader = ''
        self._pre_vote_term = state.term + 1
        self._pre_votes = {state.own.name}
        self._broadcast(self._request(self._pre_vote_term, True, False))
        self._count_pre_votes()

    def _count_pre_votes(self) -> None:
        state = self._state
        if state.is_leader or self._pre_vote_term != state.term + 1:
            return
        if state.membership.has_quorum(self._pre_votes) and self._may_seek():
            self._seek_votes(transfer=False)

    def _seek_votes(self, transfer: bool) -> None:
        state = self._state
        state.adopt_term(state.term + 1)
        state.role = GroupRole.CANDIDATE
        state.vote = state.store
        state.postpone_election()
        self._pre_votes = set()
        self._votes = set()
        term = state.term
        log_event('election_sought', term=term, transfer=transfer)
        self._broadcast(self._request(term, False, transfer))
        self._writer.after_sync('own vote', lambda: self._take_own_vote(term))

    def _take_own_vote(self, term: int) -> None:
        if self._state.term == term:
            self._votes.add(self._state.own.name)
            self._count_votes()

    def _count_votes(self) -> None:
        state = self._state
        if state.role is not GroupRole.CANDIDATE:
            return
        membership: Membership = state.membership
        if membership.has_quorum(self._votes):
            state.lead()

    def _would_grant(self, request: VoteRequest) -> bool:
        state = self._state
        if state.leader_is_recent() or not state.storage_ok:
            return False
        return request.term > state.term and self._is_up_to_date(request)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        window = self._state.window
        own = (window.last_term, window.last_index)
        return (request.last_term, request.last_index) >= own

    def _request(
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

    def _vote_answer(self, request: VoteRequest, granted: bool) -> VoteAnswer:
        return VoteAnswer(
            asked_term=request.term,
            term=self._state.term,
            granted=granted,
            pre_vote=request.pre_vote,
        )
