"""Sequences of steps: playing, shortening and printing them."""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace

from baobabgap.dispatch.tests.explorer.world import Broken
from baobabgap.dispatch.tests.explorer.world import TICK_S
from baobabgap.dispatch.tests.explorer.world import World


@dataclass(frozen=True, slots=True)
class Step:
    """A method of `World`, and for how many ticks time passes after it."""

    name: str
    arguments: tuple[object, ...] = ()
    ticks: int = 0

    def play_on(self, world: World) -> None:
        """Play this step."""
        world.say(str(self))
        method = getattr(world, self.name, None)
        if method is None:
            raise ValueError(f'no such step: {self}')
        try:
            method(*self.arguments)
        except (IndexError, TypeError) as error:
            raise ValueError(f'not a step: {self}') from error
        world.settle()
        world.pass_time(TICK_S * self.ticks)

    def __str__(self) -> str:
        return f'Step({self.name!r}, {self.arguments}, {self.ticks})'


def play(steps: Sequence[Step], trace: list[str] | None = None) -> None:
    """Play steps on a new world; raise `Broken` if a rule doesn't hold.

    What happens is added to `trace`.
    """
    world = World(trace)
    try:
        for step in steps:
            step.play_on(world)
        world.check_calm()
    finally:
        world.close()


def rule_broken_by(steps: Sequence[Step]) -> str:
    """Return the rule that a sequence breaks, or an empty string."""
    try:
        play(steps)
    except Broken as error:
        return error.rule
    return ''


def shorten(steps: Sequence[Step]) -> list[Step]:
    """Return a shorter sequence that breaks the same rule.

    No step of it can be left out, and no time after a step.
    """
    rule = rule_broken_by(steps)
    shortest = list(steps)
    length = max(1, len(shortest) // 2)
    while True:
        before = len(shortest)
        for first in reversed(range(0, len(shortest), length)):
            tried = shortest[:first] + shortest[first + length :]
            if rule_broken_by(tried) == rule:
                shortest = tried
        if length > 1:
            length //= 2
        elif len(shortest) == before:
            break
    for n, step in enumerate(shortest):
        tried = [*shortest[:n], replace(step, ticks=0), *shortest[n + 1 :]]
        if step.ticks and rule_broken_by(tried) == rule:
            shortest = tried
    return shortest
