"""The cells of the matrix: steps, faults, and what they come to."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final


class Step(StrEnum):
    """A step at which a fault is injected, and whom it hits."""

    # An entry has just taken a job.
    SUBMIT = 'submit'
    # The control leader has just been asked for a claim.
    CLAIM = 'claim'
    # An entry has just learned that a job is its own.
    PLACE = 'place'
    # An agent has just got tasks to start.
    START = 'start'
    # An agent has just finished tasks; the fault hits the entry.
    ANSWER = 'answer'
    # The control leader has just been sent a ticket.
    TICKET = 'ticket'
    # The leader is gone; the fault hits the host that seeks election.
    ELECTION = 'election'
    # A control host writes a snapshot.
    SNAPSHOT = 'snapshot'
    # A control host that lost its disk gets the state anew.
    REPAIR = 'repair'


class Fault(StrEnum):
    """What goes wrong."""

    # The process ends without any farewell and is started again.
    KILL = 'kill'
    # The process stops running for a while.
    FREEZE = 'freeze-and-thaw'
    # Links of the process go silent in one direction, yet stay open.
    CUT_ONE_WAY = 'silent-cut-one-way'
    # Links of the process go silent in both directions, yet stay open.
    CUT_BOTH_WAYS = 'silent-cut-both-ways'
    # The process ends and its disk is empty at the next start.
    LOST_DISK = 'lost-disk'
    # Writes are refused half-way for a while.
    FULL_DISK = 'full-disk'
    # Half of a write reaches the disk as the host loses power.
    TORN_WRITE = 'torn-write'
    # Every sync takes long for a while.
    SLOW_SYNC = 'slow-sync'
    # A second process is killed right after the first.
    DOUBLE = 'double-fault'
    # The process misses hundreds of changes before it is started again.
    FAR_BEHIND = 'restart-far-behind'


class Verdict(StrEnum):
    """What a cell came to."""

    HELD = 'held'
    RED = 'RED'
    NOT_RUN = 'not-run'


@dataclass(frozen=True, slots=True)
class Cell:
    """One fault at one step."""

    step: Step
    fault: Fault


@dataclass(frozen=True, slots=True)
class Result:
    """What a cell came to, and why."""

    cell: Cell
    verdict: Verdict
    seed: int
    # What was seen of a red cell, or why a cell was not run.
    reason: str = ''

    def line(self) -> str:
        """Return the line that the matrix prints."""
        fields = (self.cell.step, self.cell.fault, self.verdict, self.seed)
        text = ' '.join(str(one) for one in fields)
        return f'{text}  # {self.reason}' if self.reason else text


_DISK_FAULTS: Final = (
    Fault.LOST_DISK,
    Fault.FULL_DISK,
    Fault.TORN_WRITE,
    Fault.SLOW_SYNC,
)
# Why a disk fault has no meaning at a step.
_DISKLESS_REASON_BY_STEP: Final = {
    Step.SUBMIT: 'an entry keeps nothing on a disk; see claim',
    Step.PLACE: 'placing writes nothing; the entry has no disk',
    Step.START: 'an agent keeps nothing on a disk',
    Step.ANSWER: 'answering writes nothing; the entry has no disk',
}


def reason_not_to_run(cell: Cell) -> str:
    """Say why a cell has no meaning; empty if it has one."""
    if cell.fault in _DISK_FAULTS:
        return _DISKLESS_REASON_BY_STEP.get(cell.step, '')
    return ''


def cells_of(step: Step) -> tuple[Cell, ...]:
    """Return all cells of a step."""
    return tuple(Cell(step, fault) for fault in Fault)
