"""Roles that a process states when it opens a link."""

from typing import Final

CONTROL_ROLE: Final = 'control'
ENTRY_ROLE: Final = 'entry'
AGENT_ROLE: Final = 'agent'
# A control host that asks to become a member of the group.
JOINER_ROLE: Final = 'joiner'
