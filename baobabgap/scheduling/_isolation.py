"""How many upstreams may be used for tasks that must run alone.

Answers the load of many tasks under which upstreams may crash: each of them
may cost its upstream for seconds, and until it has run, the others wait.
"""

from collections.abc import Mapping
from typing import Final

from baobabgap.scheduling._targets import PlacementTarget

# Largest shares of the targets that may be used, at least one; the smaller
# one while over half of the processors are in use.
_SHARE: Final = 0.5
_SHARE_BUSY: Final = 0.25
# Tasks that must run alone for each target that is used while busy.
_TASKS_FOR_EACH: Final = 4
# Seconds after which a target no longer counts as used: others must not wait
# for an upstream that never returns or for a very long task.
_LONGEST_USE_S: Final = 10.0


class IsolationLimit:
    """Limits the targets of one service that have a run of their own.

    A target counts from the placement of such a run until the run has ended;
    if its upstream crashes, until that is back.
    """

    def __init__(self) -> None:
        # When runs that must be alone were last placed, by target.
        self._placed_at_by_name: dict[str, float] = {}
        # Tasks that found no target in the current pass and in the last.
        self.waiting = 0
        self._waiting_before = 0

    def begin_pass(self) -> None:
        """Start to count the tasks that find no target."""
        self._waiting_before = self.waiting
        self.waiting = 0

    def note_placed(self, name: str, now: float) -> None:
        """Record that a run that must be alone was placed on a target."""
        self._placed_at_by_name[name] = now

    def forget(self, name: str) -> None:
        """Remove a target."""
        self._placed_at_by_name.pop(name, None)

    def room(
        self,
        target_by_name: Mapping[str, PlacementTarget],
        is_busy: bool,
        now: float,
    ) -> int:
        """Return how many more targets may be used at `now`.

        `is_busy` tells whether over half of the processors are in use.
        """
        used = sum(
            1
            for name, placed_at in self._placed_at_by_name.items()
            if target_by_name[name].is_exclusive
            and now - placed_at < _LONGEST_USE_S
        )
        tasks = used + max(self.waiting, self._waiting_before)
        share = _SHARE
        if is_busy:
            share = _SHARE_BUSY
            tasks //= _TASKS_FOR_EACH
        return max(1, min(int(share * len(target_by_name)), tasks)) - used
