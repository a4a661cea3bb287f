"""Maintenance of the control group's size by its leader."""

import threading
import time
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.replication import ReplicatedLog
from baobabgap.settings import ControlHost
from baobabgap.telemetry import log_event

_CHECK_INTERVAL_S: Final = 0.5
# Seconds to wait for a membership change to be committed.
_CHANGE_TIMEOUT_S: Final = 10.0


class MembershipManager:
    """Adds standby hosts to the group and replaces silent members.

    The group grows to `wanted_members`, and from there in pairs up to
    `most_members`. Further hosts are standbys until a member has been
    silent for `silence_limit_s` seconds.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        wanted_members: int,
        most_members: int,
        silence_limit_s: float,
    ) -> None:
        self._log: Final = log
        self._wanted_members: Final = wanted_members
        self._most_members: Final = most_members
        self._silence_limit_s: Final = silence_limit_s
        self._lock = threading.Lock()
        self._standby_by_name: dict[str, ControlHost] = {}
        self._leading_since: float | None = None
        self._stopping = threading.Event()

    def add_standby(self, host: ControlHost) -> None:
        """Add a host that is ready to become a member."""
        with self._lock:
            self._standby_by_name[host.name] = host

    def remove_standby(self, name: str) -> None:
        """Remove a host that is no longer linked."""
        with self._lock:
            self._standby_by_name.pop(name, None)

    def stop(self) -> None:
        """Stop the task."""
        self._stopping.set()

    def run(self) -> None:
        """Maintain the group until stopped."""
        while not self._stopping.wait(_CHECK_INTERVAL_S):
            if not self._log.is_leader:
                self._leading_since = None
                continue
            if self._leading_since is None:
                self._leading_since = time.monotonic()
            try:
                self._adjust_members()
            except BaobabgapError as error:
                log_event('group_not_changed', error=str(error))

    def _adjust_members(self) -> None:
        members = self._log.status().members
        names = {member.name for member in members}
        with self._lock:
            standbys = [
                host
                for name, host in self._standby_by_name.items()
                if name not in names
            ]
        if not standbys:
            return
        if len(members) < self._target_size(len(members) + len(standbys)):
            host = standbys[0]
            log_event('member_added', member=host.name, address=host.address)
            self._log.add_member(host).result(_CHANGE_TIMEOUT_S)
            return
        silent = self._silent_member(names)
        if silent:
            log_event('member_removed', member=silent, reason='silent')
            self._log.remove_member(silent).result(_CHANGE_TIMEOUT_S)

    def _target_size(self, available: int) -> int:
        """Return the size for the group if so many hosts are available."""
        # An even group tolerates no more failures than one host fewer.
        odd = available - (available + 1) % 2
        return max(self._wanted_members, min(odd, self._most_members))

    def _silent_member(self, names: set[str]) -> str:
        """Return a member that has been silent too long, or an empty name."""
        assert self._leading_since is not None
        leading_s = time.monotonic() - self._leading_since
        if leading_s < self._silence_limit_s:
            return ''
        for name, silence_s in self._log.silence_s_by_member().items():
            if name in names and silence_s > self._silence_limit_s:
                return name
        return ''
