"""Background tasks of a control host."""

from collections.abc import Callable
from concurrent.futures import Executor
import threading
import time
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.control._command_router import CommandRouter
from baobabgap.control._commands import JoinCommand
from baobabgap.control._commands import LeaveCommand
from baobabgap.control._membership_monitor import MembershipMonitor
from baobabgap.control._relay import LeaderRelay
from baobabgap.control._sessions import Sessions
from baobabgap.control._state import ControlState
from baobabgap.messages import Hello
from baobabgap.messages import LeaderHint
from baobabgap.replication import ReplicatedLog
from baobabgap.settings import ControlSettings
from baobabgap.telemetry import log_event

_MAINTENANCE_INTERVAL_S: Final = 0.25
_LEAVE_TIMEOUT_S: Final = 1.0
# An election usually takes fewer election timeouts than this.
_ELECTION_TIMEOUTS_BEFORE_CLOSE: Final = 4


class BackgroundTasks:
    """Pushes changes to members and maintains membership records.

    Two tasks run until `stop`: one pushes each new version, the other
    checks the leader and the records of this host and its members several
    times a second.
    """

    def __init__(
        self,
        settings: ControlSettings,
        pool: Executor,
        make_hello: Callable[[], Hello],
        state: ControlState,
        sessions: Sessions,
        log: ReplicatedLog,
        relay: LeaderRelay,
        command_router: CommandRouter,
        membership_monitor: MembershipMonitor,
    ) -> None:
        self._pool = pool
        self._make_hello = make_hello
        self._state = state
        self._sessions = sessions
        self._log = log
        self._relay = relay
        self._command_router = command_router
        self._membership_monitor = membership_monitor
        self._change_pause_s = settings.change_pause_ms / 1000
        self._close_sessions_after_s = (
            _ELECTION_TIMEOUTS_BEFORE_CLOSE * settings.election_timeout_s
        )
        self._leader_reached_at = time.monotonic()
        self._is_leaving = False
        self._stopping = threading.Event()
        self._has_new_version = threading.Event()
        state.on_version = self._has_new_version.set

    @property
    def reaches_leader(self) -> bool:
        """Whether this host leads or is connected to the leader."""
        return self._log.is_leader or self._relay.is_open

    def start(self) -> None:
        """Start both tasks."""
        self._pool.submit(self._push_loop)
        self._pool.submit(self._maintenance_loop)

    def leave(self) -> None:
        """Record the planned stop of this host; log an error if that fails."""
        self._is_leaving = True
        hello = self._make_hello()
        leaving = self._command_router.submit(
            LeaveCommand(hello.name, hello.incarnation)
        )
        try:
            leaving.result(_LEAVE_TIMEOUT_S)
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

    def _maintenance_loop(self) -> None:
        while not self._stopping.wait(_MAINTENANCE_INTERVAL_S):
            self._run_logged(self._maintain)

    def _run_logged(self, step: Callable[[], None]) -> None:
        """Run one step of a loop; errors are logged and don't end the loop."""
        try:
            step()
        except Exception as error:
            log_event('control:step_failed', error=repr(error))

    def _maintain(self) -> None:
        self._relay.check_leader()
        now = time.monotonic()
        if self.reaches_leader:
            self._leader_reached_at = now
            self._maintain_with_leader()
        elif now - self._leader_reached_at > self._close_sessions_after_s:
            # Other hosts may reach the leader; members dial them next.
            self._sessions.close_all(self._pool)

    def _maintain_with_leader(self) -> None:
        leader = self._log.leader
        if leader is None or self._is_leaving:
            return
        hello = self._make_hello()
        is_this_host = leader.name == hello.name
        address = hello.address if is_this_host else leader.address
        self._sessions.announce_leader(LeaderHint(leader.name, address))
        if not is_this_host:
            self._sessions.forward_reports(self._relay.report)
        self._ensure_own_record(hello)
        self._membership_monitor.run_once()

    def _ensure_own_record(self, hello: Hello) -> None:
        known = self._state.member(hello.name)
        if known is not None and known.record.alive:
            if known.record.incarnation == hello.incarnation:
                return
        self._command_router.submit(
            JoinCommand(
                hello.name,
                hello.role,
                hello.incarnation,
                hello.address,
                hello.availability_zone,
                (hello.name, hello.incarnation, 0),
            )
        )
