"""What a process says that it is when it links."""

from typing import Final

CONTROL_ROLE: Final = 'control'
ENTRY_ROLE: Final = 'entry'
AGENT_ROLE: Final = 'agent'
# A control host that wants to be taken into the group.
JOINER_ROLE: Final = 'joiner'
