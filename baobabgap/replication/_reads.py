"""Linearizable reads, confirmed in rounds for many callers at once."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Final

from baobabgap.replication._state import fail_futures
from baobabgap.replication._state import GroupState


@dataclass(frozen=True, slots=True)
class _PendingRead:
    """A caller that waits until its read is linearizable."""

    # A majority must confirm this round or a later one.
    read_round: int
    # The state machine must have applied this index.
    index: int
    # Completes with the last applied index.
    future: Future[int]


class ReadBarriers:
    """Confirms with a majority that this host is still the leader.

    This does not depend on clocks: a read completes only after a majority
    has answered a message that was sent after the call.
    """

    def __init__(
        self,
        state: GroupState,
        request_round: Callable[[int], None],
        confirmed_by_voter: Callable[[], dict[str, int]],
    ) -> None:
        self._state: Final = state
        self._request_round: Final = request_round
        self._confirmed_by_voter: Final = confirmed_by_voter
        self._last_round = 0
        self._unconfirmed: list[_PendingRead] = []
        self._confirmed: list[_PendingRead] = []

    def begin(self) -> Future[int]:
        """Return a future that completes once a read is linearizable."""
        future: Future[int] = Future()
        state = self._state
        with state.lock:
            if not state.is_leader or state.stopping:
                future.set_exception(state.not_leader('read barrier'))
                return future
            self._last_round += 1
            # Entries that earlier leaders committed precede the first
            # entry of the current term.
            index = max(state.commit_index, state.first_index_of_term)
            self._unconfirmed.append(
                _PendingRead(self._last_round, index, future)
            )
            self._request_round(self._last_round)
            self.process_confirmed_rounds()
        return future

    def process_confirmed_rounds(self) -> None:
        """Mark reads that a majority has confirmed; the lock is held."""
        if not self._unconfirmed:
            return
        state = self._state
        round_by_voter = self._confirmed_by_voter()
        if state.is_voter:
            round_by_voter[state.own_host.name] = self._last_round
        rounds = sorted(round_by_voter.values(), reverse=True)
        quorum = state.membership.quorum
        if len(rounds) < quorum:
            return
        confirmed = rounds[quorum - 1]
        waiting = self._unconfirmed
        self._unconfirmed = [
            read for read in waiting if read.read_round > confirmed
        ]
        self._confirmed.extend(
            read for read in waiting if read.read_round <= confirmed
        )
        state.applier_work.notify()

    def has_ready(self) -> bool:
        """Return whether a read can be completed; the lock is held."""
        applied = self._state.applied_index
        return any(read.index <= applied for read in self._confirmed)

    def complete_ready(self) -> None:
        """Complete confirmed reads up to the applied index.

        Called without the lock.
        """
        with self._state.lock:
            applied = self._state.applied_index
            ready = [read for read in self._confirmed if read.index <= applied]
            self._confirmed = [
                read for read in self._confirmed if read.index > applied
            ]
        for read in ready:
            read.future.set_result(applied)

    def fail_all(self) -> None:
        """Fail all reads after the loss of leadership; the lock is held."""
        futures = [
            read.future for read in (*self._unconfirmed, *self._confirmed)
        ]
        self._unconfirmed = []
        self._confirmed = []
        if futures:
            error = self._state.not_leader('read barrier')
            self._state.run_later(lambda: fail_futures(futures, error))
