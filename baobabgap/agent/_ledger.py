"""Who may use the slots of the upstream: the tokens that are out."""

from collections.abc import Iterable
from typing import Final
import zlib

from baobabgap.messages import SlotGrant

# Idle slots over all of this time raise the suspicion that the tokens
# which stand for them are lost.
_LEAK_WINDOW_S: Final = 5.0


class SlotLedger:
    """Counts slots, idle tokens and tasks, and hands tokens out.

    Idle tokens, running and queued tasks together stay at or below the
    slots, but for tasks that were on their way when an epoch ended: while
    there are too many, results bring no token back. An example::

        ledger = SlotLedger('agent-1')
        ledger.set_slots(8)
        ledger.set_entries(['entry-a', 'entry-b'])
        grant_by_entry = ledger.redistribute()
    """

    def __init__(self, agent: str) -> None:
        self._rotation = zlib.crc32(agent.encode())
        self._entries: tuple[str, ...] = ()
        self._window_started_at = 0.0
        self._minimum_idle = 0
        self.epoch = 0
        self.slots = 0
        self.idle_tokens = 0
        self.running = 0
        self.queued = 0

    @property
    def free_slots(self) -> int:
        """Slots on which nothing runs."""
        return max(0, self.slots - self.running)

    @property
    def idle_slots(self) -> int:
        """Slots for which there is no task at the agent."""
        return max(0, self.slots - self.running - self.queued)

    def set_slots(self, slots: int) -> None:
        """Change how many tasks may run at once."""
        self.slots = slots

    def set_entries(self, entries: Iterable[str]) -> None:
        """Change who takes part in the next distribution."""
        self._entries = tuple(sorted(entries))

    def redistribute(self) -> dict[str, SlotGrant]:
        """Begin a new epoch and split the idle slots among the entries."""
        self.epoch += 1
        self.idle_tokens = 0
        self._minimum_idle = 0
        if not self._entries:
            return {}
        share, remainder = divmod(self.idle_slots, len(self._entries))
        first = self._rotation % len(self._entries)
        grant_by_entry = {}
        for index, entry in enumerate(self._entries):
            place = (index - first) % len(self._entries)
            tokens = share + (1 if place < remainder else 0)
            self.idle_tokens += tokens
            grant_by_entry[entry] = SlotGrant(self.epoch, tokens)
        return grant_by_entry

    def receive(self, epoch: int) -> None:
        """Count a task that has arrived, and spend its token if valid."""
        self.queued += 1
        if epoch == self.epoch and self.idle_tokens > 0:
            self.idle_tokens -= 1
        self._observe()

    def begin(self) -> None:
        """Turn a queued task into a running one."""
        self.queued -= 1
        self.running += 1

    def adopt(self) -> None:
        """Count a task that an earlier agent process has started."""
        self.running += 1

    def end_running(self) -> None:
        """Forget a task that ran."""
        self.running -= 1

    def end_queued(self) -> None:
        """Forget a task that never started."""
        self.queued -= 1

    def give_back_token(self) -> bool:
        """Tell whether a token goes out with a result, and count it."""
        out = self.idle_tokens + self.running + self.queued
        if out >= self.slots:
            return False
        self.idle_tokens += 1
        return True

    @property
    def has_unclaimed_slots(self) -> bool:
        """Whether there are slots without a task or a token for them."""
        out = self.idle_tokens + self.running + self.queued
        return bool(self._entries) and out < self.slots

    def suspects_leak(self, now: float) -> bool:
        """Tell once a window whether tokens have lain idle throughout."""
        if now - self._window_started_at < _LEAK_WINDOW_S:
            return False
        suspected = bool(self._entries) and self._minimum_idle > 0
        self._window_started_at = now
        self._minimum_idle = self.idle_slots
        return suspected

    def _observe(self) -> None:
        self._minimum_idle = min(self._minimum_idle, self.idle_slots)
