"""Pages for operators."""

from dataclasses import asdict
from typing import Any

from baobabgap._exceptions import InvalidInput
from baobabgap.configuration import Configuration
from baobabgap.control._sessions import Sessions
from baobabgap.control._state import ControlState
from baobabgap.replication import ReplicatedLog


class Pages:
    """Builds pages as JSON documents from the state of this host."""

    def __init__(
        self, state: ControlState, sessions: Sessions, log: ReplicatedLog
    ) -> None:
        self._state = state
        self._sessions = sessions
        self._log = log

    def page(self, topic: str) -> dict[str, Any]:
        """Return a page, or raise `InvalidInput` for an unknown topic."""
        match topic:
            case 'members':
                return self._members()
            case 'tickets':
                return self._tickets()
            case 'configuration':
                return self._configuration()
            case 'status':
                return self.status()
            case _:
                raise InvalidInput(
                    f'{topic[:40]!r} is no page; there are members, '
                    'tickets, configuration and status',
                    step='query',
                )

    def status(self) -> dict[str, Any]:
        """Describe this host, also without a leader."""
        log = self._log.status()
        with self._state.lock:
            return {
                'log': asdict(log),
                'version': self._state.version,
                'kept_claims': self._state.claims.kept_count,
                'newest_ticket': self._state.tickets.newest_number,
                'sessions': len(self._sessions.all()),
            }

    def _members(self) -> dict[str, Any]:
        with self._state.lock:
            version = self._state.version
            members = self._state.members.all()
            configuration = Configuration.from_state(
                version, self._state.tickets.merged_state({})
            )
        rows = [
            {
                **asdict(member.record),
                'has_left': member.has_left,
                'evacuated': (
                    member.record.availability_zone
                    in configuration.evacuated_zones
                ),
                'control_host': member.attachment.host,
                'version_in_force': self._sessions.version_in_force(
                    member.record.name
                ),
            }
            for member in members
        ]
        rows.sort(key=lambda row: (row['role'], row['name']))
        return {'version': version, 'members': rows}

    def _tickets(self) -> dict[str, Any]:
        with self._state.lock:
            return {
                'newest_number': self._state.tickets.newest_number,
                'tickets': self._state.tickets.history(),
            }

    def _configuration(self) -> dict[str, Any]:
        with self._state.lock:
            return {
                'version': self._state.version,
                'newest_number': self._state.tickets.newest_number,
                'entries': [
                    asdict(entry)
                    for entry in self._state.tickets.entries_after(0)
                ],
            }
