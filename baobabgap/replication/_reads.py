"""Linearizable read points, batched over their callers."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Final

from baobabgap.replication._state import fail_futures
from baobabgap.replication._state import GroupState


@dataclass(frozen=True, slots=True)
class _Read:
    """One caller that waits for a read point."""

    # A majority must confirm this round or a later one.
    read_round: int
    # The machine must have applied this entry.
    index: int
    # Completes with the last applied index.
    future: Future[int]


class ReadBarriers:
    """Confirms by a majority that this host still leads.

    No clock is trusted: a read point counts only if a majority has
    answered a message that was sent after the call.
    """

    def __init__(
        self,
        state: GroupState,
        ask_peers: Callable[[int], None],
        confirmed_by_voter: Callable[[], dict[str, int]],
    ) -> None:
        self._state: Final = state
        self._ask_peers: Final = ask_peers
        self._confirmed_by_voter: Final = confirmed_by_voter
        self._last_round = 0
        self._unconfirmed: list[_Read] = []
        self._confirmed: list[_Read] = []

    def begin(self) -> Future[int]:
        """Return a future that completes at a read point."""
        future: Future[int] = Future()
        state = self._state
        with state.lock:
            if not state.is_leader or state.stopping:
                future.set_exception(state.not_leader('read barrier'))
                return future
            self._last_round += 1
            # What earlier leaders committed comes before the first entry
            # of the own term.
            index = max(state.commit, state.first_led_index)
            self._unconfirmed.append(_Read(self._last_round, index, future))
            self._ask_peers(self._last_round)
            self.take_rounds()
        return future

    def take_rounds(self) -> None:
        """Move on what a majority has confirmed; the lock is held."""
        if not self._unconfirmed:
            return
        state = self._state
        round_by_voter = self._confirmed_by_voter()
        if state.is_voter:
            round_by_voter[state.own.name] = self._last_round
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

    def has_applied(self) -> bool:
        """Tell whether a read can be completed; the lock is held."""
        applied = self._state.applied
        return any(read.index <= applied for read in self._confirmed)

    def complete_applied(self) -> None:
        """Complete what the machine has reached; without the lock."""
        with self._state.lock:
            applied = self._state.applied
            ready = [read for read in self._confirmed if read.index <= applied]
            self._confirmed = [
                read for read in self._confirmed if read.index > applied
            ]
        for read in ready:
            read.future.set_result(applied)

    def fail_all(self) -> None:
        """Fail what waits: leadership is lost; the lock is held."""
        futures = [
            read.future for read in (*self._unconfirmed, *self._confirmed)
        ]
        self._unconfirmed = []
        self._confirmed = []
        if futures:
            error = self._state.not_leader('read barrier')
            self._state.run_later(lambda: fail_futures(futures, error))
