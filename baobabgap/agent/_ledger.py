"""Accounting of the upstream's slots and of the tokens for them."""

from collections.abc import Iterable
from typing import Final
import zlib

from baobabgap.messages import SlotGrant

# If some slots stay idle for this many seconds, their tokens are assumed
# to be lost.
_LEAK_WINDOW_S: Final = 5.0


class SlotLedger:
    """Counts slots, idle tokens and tasks, and grants tokens to entries.

    The sum of idle tokens, running tasks and queued tasks stays at or
    below the number of slots, except for tasks in transit when an epoch
    ended: while the sum is too large, results return no token. An
    example::

        ledger = SlotLedger('agent-1')
        ledger.set_slots(8)
        ledger.set_entries(['entry-a', 'entry-b'])
        grant_by_entry = ledger.redistribute()
    """

    def __init__(self, agent: str) -> None:
        self._remainder_offset = zlib.crc32(agent.encode())
        self._entries: tuple[str, ...] = ()
        self._window_started_at = 0.0
        self._min_idle_slots = 0
        self.epoch = 0
        self.slots = 0
        self.idle_tokens = 0
        self.running = 0
        self.queued = 0

    @property
    def free_slots(self) -> int:
        """Number of slots without a running task."""
        return max(0, self.slots - self.running)

    @property
    def idle_slots(self) -> int:
        """Number of slots without a running or queued task."""
        return max(0, self.slots - self.running - self.queued)

    def set_slots(self, slots: int) -> None:
        """Set the maximum number of concurrent tasks."""
        self.slots = slots

    def set_entries(self, entries: Iterable[str]) -> None:
        """Set the entries that get tokens in the next distribution."""
        self._entries = tuple(sorted(entries))

    def redistribute(self) -> dict[str, SlotGrant]:
        """Begin a new epoch and split the idle slots among the entries."""
        self.epoch += 1
        self.idle_tokens = 0
        self._min_idle_slots = 0
        if not self._entries:
            return {}
        share, remainder = divmod(self.idle_slots, len(self._entries))
        first = self._remainder_offset % len(self._entries)
        grant_by_entry = {}
        for index, entry in enumerate(self._entries):
            position = (index - first) % len(self._entries)
            tokens = share + (1 if position < remainder else 0)
            self.idle_tokens += tokens
            grant_by_entry[entry] = SlotGrant(self.epoch, tokens)
        return grant_by_entry

    def receive(self, epoch: int) -> None:
        """Count a task that has arrived, and use up its token if valid."""
        self.queued += 1
        if epoch == self.epoch and self.idle_tokens > 0:
            self.idle_tokens -= 1
        self._update_min_idle()

    def begin(self) -> None:
        """Turn a queued task into a running one."""
        self.queued -= 1
        self.running += 1

    def adopt(self) -> None:
        """Count a running task that an earlier agent process started."""
        self.running += 1

    def end_running(self) -> None:
        """Stop counting a running task."""
        self.running -= 1

    def end_queued(self) -> None:
        """Stop counting a queued task that never started."""
        self.queued -= 1

    def return_token(self) -> bool:
        """Count a token as idle if one is due; return whether it is.

        The caller sends the token with a task's result.
        """
        committed = self.idle_tokens + self.running + self.queued
        if committed >= self.slots:
            return False
        self.idle_tokens += 1
        return True

    @property
    def has_unclaimed_slots(self) -> bool:
        """Whether some slots have neither a task nor a token."""
        committed = self.idle_tokens + self.running + self.queued
        return bool(self._entries) and committed < self.slots

    def suspects_leak(self, now: float) -> bool:
        """Return, once per window, whether slots stayed idle throughout."""
        if now - self._window_started_at < _LEAK_WINDOW_S:
            return False
        suspected = bool(self._entries) and self._min_idle_slots > 0
        self._window_started_at = now
        self._min_idle_slots = self.idle_slots
        return suspected

    def _update_min_idle(self) -> None:
        self._min_idle_slots = min(self._min_idle_slots, self.idle_slots)
