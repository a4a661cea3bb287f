"""What a control host does without being asked."""

from collections.abc import Callable
from concurrent.futures import Executor
import threading
import time
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.control._commands import JoinCommand
from baobabgap.control._commands import LeaveCommand
from baobabgap.control._gateway import Gateway
from baobabgap.control._reaper import Reaper
from baobabgap.control._relay import LeaderRelay
from baobabgap.control._sessions import Sessions
from baobabgap.control._state import ControlState
from baobabgap.messages import Hello
from baobabgap.messages import LeaderHint
from baobabgap.replication import ReplicatedLog
from baobabgap.settings import ControlSettings
from baobabgap.telemetry import log_event

_TICK_S: Final = 0.25
_LEAVE_WAIT_S: Final = 1.0
# An election takes less than this many election timeouts as a rule.
_ELECTIONS_BEFORE_CUT_OFF: Final = 4


class Upkeep:
    """Pushes changes and keeps the host's own record and its members'.

    Until `stop` there are two tasks: one pushes changes as they come, one
    looks after records and the leader several times a second.
    """

    def __init__(
        self,
        settings: ControlSettings,
        pool: Executor,
        own: Callable[[], Hello],
        state: ControlState,
        sessions: Sessions,
        log: ReplicatedLog,
        relay: LeaderRelay,
        gateway: Gateway,
        reaper: Reaper,
    ) -> None:
        self._pool = pool
        self._own = own
        self._state = state
        self._sessions = sessions
        self._log = log
        self._relay = relay
        self._gateway = gateway
        self._reaper = reaper
        self._change_pause_s = settings.change_pause_ms / 1000
        self._cut_off_after_s = (
            _ELECTIONS_BEFORE_CUT_OFF * settings.election_timeout_s
        )
        self._leader_reached_at = time.monotonic()
        self._is_leaving = False
        self._stopping = threading.Event()
        self._has_new_version = threading.Event()
        state.on_version = self._has_new_version.set

    @property
    def reaches_leader(self) -> bool:
        """Tell whether requests can be carried out from here."""
        return self._log.is_leader or self._relay.is_open

    def start(self) -> None:
        """Begin both tasks."""
        self._pool.submit(self._push_loop)
        self._pool.submit(self._tick_loop)

    def leave(self) -> None:
        """Record that this host is about to stop."""
        self._is_leaving = True
        own = self._own()
        leaving = self._gateway.submit(LeaveCommand(own.name, own.incarnation))
        try:
            leaving.result(_LEAVE_WAIT_S)
        except (BaobabgapError, TimeoutError) as error:
            log_event('control:left_unrecorded', error=str(error))

    def stop(self) -> None:
        """End both tasks."""
        self._stopping.set()
        self._has_new_version.set()

    def _push_loop(self) -> None:
        while not self._stopping.is_set():
            self._has_new_version.wait()
            self._stopping.wait(self._change_pause_s)
            self._has_new_version.clear()
            self._run_logged(self._sessions.push_changes)

    def _tick_loop(self) -> None:
        while not self._stopping.wait(_TICK_S):
            self._run_logged(self._tick)

    def _run_logged(self, step: Callable[[], None]) -> None:
        """Run one step of a loop that must go on if the step fails."""
        try:
            step()
        except Exception as error:
            log_event('control:step_failed', error=repr(error))

    def _tick(self) -> None:
        self._relay.check_leader()
        now = time.monotonic()
        if self.reaches_leader:
            self._leader_reached_at = now
            self._tick_with_leader()
        elif now - self._leader_reached_at > self._cut_off_after_s:
            # Members do better to try the other hosts.
            self._sessions.close_all(self._pool)

    def _tick_with_leader(self) -> None:
        leader = self._log.leader
        if leader is None or self._is_leaving:
            return
        own = self._own()
        is_own = leader.name == own.name
        address = own.address if is_own else leader.address
        self._sessions.show_leader(LeaderHint(leader.name, address))
        if not is_own:
            self._sessions.pass_reports_on(self._relay.report)
        self._keep_own_record(own)
        self._reaper.run_once()

    def _keep_own_record(self, own: Hello) -> None:
        known = self._state.member(own.name)
        if known is not None and known.record.alive:
            if known.record.incarnation == own.incarnation:
                return
        self._gateway.submit(
            JoinCommand(
                own.name,
                own.role,
                own.incarnation,
                own.address,
                own.availability_zone,
                (own.name, own.incarnation, 0),
            )
        )
