"""Routes commands and queries to the leader."""

from collections.abc import Callable
from concurrent.futures import Future
import time
from typing import Any

from baobabgap.control._commands import Command
from baobabgap.control._commands import decode_command
from baobabgap.control._commands import encode_command
from baobabgap.control._commands import LookupQuery
from baobabgap.control._commands import PageQuery
from baobabgap.control._commands import stamp
from baobabgap.control._relay import LeaderRelay
from baobabgap.control._state import ControlState
from baobabgap.replication import ReplicatedLog


class CommandRouter:
    """Carries out commands and queries on this host or the leader.

    Futures fail with `NotLeader` if certainly nothing was changed, and
    with `OutcomeUnknown` or another error if the outcome is unknown.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        state: ControlState,
        incarnation: str,
        relay: LeaderRelay,
        page: Callable[[str], Any],
    ) -> None:
        self._log = log
        self._state = state
        self._incarnation = incarnation
        self._relay = relay
        self._page = page

    def submit(self, command: Command) -> Future[Any]:
        """Carry out a command or query, here or on the leader."""
        data = encode_command(command)
        is_query = isinstance(command, LookupQuery | PageQuery)
        if self._log.is_leader:
            return self.submit_locally(data, is_query=is_query)
        return self._relay.submit(data, is_query=is_query)

    def submit_locally(self, data: bytes, *, is_query: bool) -> Future[Any]:
        """Carry out an encoded command or query on this host only."""
        if is_query:
            return self._query_locally(data)
        now_ms = time.monotonic_ns() // 1_000_000
        return self._log.propose(stamp(data, self._incarnation, now_ms))

    def _query_locally(self, data: bytes) -> Future[Any]:
        answer: Future[Any] = Future()
        barrier = self._log.read_barrier()
        barrier.add_done_callback(
            lambda passed: self._finish_query(passed, data, answer)
        )
        return answer

    def _finish_query(
        self, passed: Future[int], data: bytes, answer: Future[Any]
    ) -> None:
        error = passed.exception()
        if error is not None:
            answer.set_exception(error)
            return
        try:
            match decode_command(data):
                case LookupQuery() as query:
                    answer.set_result(self._state.look_up(query))
                case PageQuery() as query:
                    answer.set_result(self._page(query.topic))
        except Exception as failure:
            answer.set_exception(failure)
