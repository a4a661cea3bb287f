"""Entry addresses, limits and evacuations from the control group."""

from collections.abc import Callable
import threading
from typing import Final

from baobabgap._exceptions import InvalidInput
from baobabgap.configuration import EVACUATION_PREFIX
from baobabgap.configuration import PlacementPolicy
from baobabgap.configuration import Policy
from baobabgap.configuration import UpstreamLimit
from baobabgap.configuration import validate_state
from baobabgap.configuration import ZoneEvacuation
from baobabgap.messages import Changes
from baobabgap.messages import ConfigurationEntry
from baobabgap.messages import MemberRecord
from baobabgap.telemetry import log_event

_ENTRY_ROLE: Final = 'entry'
_POLICY_KEY: Final = 'policy'
_UPSTREAM_PREFIX: Final = 'upstream/'
_PREFIXES: Final = (_UPSTREAM_PREFIX, EVACUATION_PREFIX)


class EntryDirectory:
    """State that the agent receives from the control group.

    Pass `apply` to a `ControlClient` as its callback; `on_change` is
    called after each change, in the thread that calls `apply`.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self._on_change = on_change
        self._lock = threading.Lock()
        self._entry_by_name: dict[str, MemberRecord] = {}
        self._limit_by_upstream: dict[str, int] = {}
        # Versions of the orders by evacuated availability zone.
        self._ticket_by_evacuated_zone: dict[str, int] = {}
        self._policy = Policy()

    def apply(self, changes: Changes) -> None:
        """Apply a change, or the whole state if `from_version` is 0."""
        with self._lock:
            if changes.from_version == 0:
                self._entry_by_name.clear()
                self._limit_by_upstream.clear()
                self._ticket_by_evacuated_zone.clear()
                self._policy = Policy()
            for member in changes.members:
                self._apply_member(member)
            for entry in changes.configuration:
                self._apply_state(entry)
        self._on_change()

    def entry_addresses(self) -> set[str]:
        """Return the addresses of all live entries."""
        with self._lock:
            return {member.address for member in self._entry_by_name.values()}

    def limit_of(self, upstream: str) -> int | None:
        """Return the slot limit set by a ticket, or None if there is none."""
        with self._lock:
            return self._limit_by_upstream.get(upstream)

    def ticket_of_evacuation(self, zone: str) -> int | None:
        """Return the ticket by which a zone is evacuated, or None."""
        with self._lock:
            return self._ticket_by_evacuated_zone.get(zone)

    @property
    def wants_load_reports(self) -> bool:
        """Whether the placement policy in force uses `UpstreamLoad`."""
        return self._policy.placement is PlacementPolicy.LEAST_REPORTED

    def _apply_member(self, member: MemberRecord) -> None:
        if member.role != _ENTRY_ROLE:
            return
        if member.alive and member.address:
            self._entry_by_name[member.name] = member
        else:
            self._entry_by_name.pop(member.name, None)

    def _apply_state(self, entry: ConfigurationEntry) -> None:
        key = entry.key
        if key != _POLICY_KEY and not key.startswith(_PREFIXES):
            return
        try:
            state = validate_state(key, entry.value)
        except InvalidInput as error:
            log_event('agent:bad_configuration', key=key, why=str(error))
            return
        match state:
            case Policy():
                self._policy = state
            case UpstreamLimit():
                name = key.removeprefix(_UPSTREAM_PREFIX)
                self._limit_by_upstream[name] = state.slots
            case ZoneEvacuation():
                zone = key.removeprefix(EVACUATION_PREFIX)
                if state.evacuated:
                    self._ticket_by_evacuated_zone[zone] = entry.ticket
                else:
                    self._ticket_by_evacuated_zone.pop(zone, None)
            case _:
                pass
