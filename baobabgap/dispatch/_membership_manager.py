"""Maintenance of the control group's size by its leader."""

from collections.abc import Collection
from collections.abc import Sequence
from concurrent.futures import Future
from dataclasses import dataclass
import threading
import time
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.replication import MemberStatus
from baobabgap.replication import ReplicatedLog
from baobabgap.settings import ControlHost
from baobabgap.telemetry import log_event

_CHECK_INTERVAL_S: Final = 0.5
# The share of `silence_limit_s` after which a learner without a link counts as
# lost. It has no vote, so that the group can do without it at once.
_UNLINKED_LEARNER_SHARE: Final = 0.5


@dataclass(frozen=True, slots=True)
class AddHost:
    """Make a standby a member."""

    # The standby.
    host: ControlHost


@dataclass(frozen=True, slots=True)
class RemoveMember:
    """Remove a member that no longer answers."""

    # Its name.
    name: str


class MembershipManager:
    """Adds standby hosts to the group and replaces silent members.

    The group grows to `wanted_members`, and from there in pairs up to
    `most_members`. Further hosts are standbys until a member has been
    silent for `silence_limit_s` seconds, or for half of that if it is a
    learner that has lost its link to the leader.

    Each check compares the members with the standbys and proposes at most one
    change. No check waits for a change: a host that is lost while it joins
    never becomes a voter.
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
        # When hosts whose links are open were last removed as silent.
        self._removed_at_by_name: dict[str, float] = {}
        self._leading_since: float | None = None
        self._last_error = ''
        self._stopping = threading.Event()

    def add_standby(self, host: ControlHost) -> None:
        """Add a host that is ready to become a member."""
        with self._lock:
            self._standby_by_name[host.name] = host
            self._removed_at_by_name.pop(host.name, None)

    def remove_standby(self, host: ControlHost) -> None:
        """Remove a host whose link has ended.

        `host` is the object that was passed to `add_standby`. It has no
        effect if the host has been added again since, on a newer link.
        """
        with self._lock:
            if self._standby_by_name.get(host.name) is host:
                del self._standby_by_name[host.name]
                self._removed_at_by_name.pop(host.name, None)

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
                self._adjust_members(self._leading_since)
            except Exception as error:
                # The next check starts from the members of that time.
                log_event('group_not_checked', error=repr(error))

    def _adjust_members(self, leading_since: float) -> None:
        members = self._log.status().members
        standbys = self._standbys({member.name for member in members})
        if not standbys:
            return
        silent = self._silent_members(
            members, time.monotonic() - leading_since
        )
        match self._next_change(members, standbys, silent):
            case AddHost(host=host):
                log_event(
                    'member_added', member=host.name, address=host.address
                )
                self._watch(self._log.add_member(host))
            case RemoveMember(name=name):
                log_event('member_removed', member=name, reason='silent')
                with self._lock:
                    self._removed_at_by_name[name] = time.monotonic()
                self._watch(self._log.remove_member(name))

    def _standbys(self, members: Collection[str]) -> list[ControlHost]:
        """Return the standbys, those last that were removed as silent.

        Such a host keeps its link, but doesn't take part in replication.
        """
        with self._lock:
            standbys = [
                host
                for name, host in self._standby_by_name.items()
                if name not in members
            ]
            removed_at = dict(self._removed_at_by_name)
        return sorted(standbys, key=lambda host: removed_at.get(host.name, 0))

    def _next_change(
        self,
        members: Sequence[MemberStatus],
        standbys: Sequence[ControlHost],
        silent: Sequence[MemberStatus],
    ) -> AddHost | RemoveMember | None:
        # A lost learner counts toward the size, but never becomes a voter.
        for member in silent:
            if not member.voter:
                return RemoveMember(member.name)
        if len(members) < self._target_size(len(members) + len(standbys)):
            return AddHost(standbys[0])
        if silent:
            return RemoveMember(silent[0].name)
        return None

    def _target_size(self, available: int) -> int:
        """Return the size for the group if so many hosts are available."""
        # An even group tolerates no more failures than one host fewer.
        odd = available - (available + 1) % 2
        return max(self._wanted_members, min(odd, self._most_members))

    def _silent_members(
        self, members: Sequence[MemberStatus], leading_s: float
    ) -> list[MemberStatus]:
        """Return the members that have been silent too long."""
        silence_s_by_name = self._log.silence_s_by_member()
        return [
            member
            for member in members
            if min(leading_s, silence_s_by_name.get(member.name, 0.0))
            > self._silence_limit_of(member)
        ]

    def _silence_limit_of(self, member: MemberStatus) -> float:
        with self._lock:
            is_linked = member.name in self._standby_by_name
        if member.voter or is_linked:
            return self._silence_limit_s
        return _UNLINKED_LEARNER_SHARE * self._silence_limit_s

    def _watch(self, change: Future[None]) -> None:
        """Log it if the change fails, at once or later."""
        change.add_done_callback(self._log_failure)

    def _log_failure(self, change: Future[None]) -> None:
        error = change.exception()
        if error is None:
            self._last_error = ''
        elif isinstance(error, BaobabgapError):
            # A change is refused at each check while another one is pending.
            if str(error) != self._last_error:
                self._last_error = str(error)
                log_event('group_not_changed', error=str(error))
        else:
            log_event('group_not_changed', error=repr(error))
