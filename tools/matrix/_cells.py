"""The cells of the matrix: steps, faults and their results."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final


class Step(StrEnum):
    """A step at which a fault is injected, and the process it affects."""

    # An entry has just received a job.
    SUBMIT = 'submit'
    # The control leader has just received a claim.
    CLAIM = 'claim'
    # An entry has just been granted the claim on a job.
    PLACE = 'place'
    # An agent has just received tasks to start.
    START = 'start'
    # An agent has just finished tasks; the fault affects the entry.
    ANSWER = 'answer'
    # The control leader has just been sent a ticket.
    TICKET = 'ticket'
    # The leader was killed; the fault affects the host that seeks election.
    ELECTION = 'election'
    # A control host is writing a snapshot.
    SNAPSHOT = 'snapshot'
    # A control host that lost its disk receives the state again.
    REPAIR = 'repair'


class Fault(StrEnum):
    """A fault that is injected into a process."""

    # The process is killed and restarted.
    KILL = 'kill'
    # The process is suspended and resumed.
    FREEZE = 'freeze-and-thaw'
    # The process's links stay open, but lose all data in one direction.
    CUT_ONE_WAY = 'silent-cut-one-way'
    # The process's links stay open, but lose all data in both directions.
    CUT_BOTH_WAYS = 'silent-cut-both-ways'
    # The process is killed and restarted with an empty disk.
    LOST_DISK = 'lost-disk'
    # For a while, each write stores half of its data and fails.
    FULL_DISK = 'full-disk'
    # The host loses power when half of a write has reached the disk.
    TORN_WRITE = 'torn-write'
    # For a while, every sync is slow.
    SLOW_SYNC = 'slow-sync'
    # A second process is killed right after the first.
    DOUBLE = 'double-fault'
    # The process misses more than a hundred changes before its restart.
    FAR_BEHIND = 'restart-far-behind'


class Verdict(StrEnum):
    """The outcome of a cell."""

    HELD = 'held'
    RED = 'RED'
    NOT_RUN = 'not-run'


@dataclass(frozen=True, slots=True)
class Cell:
    """One fault injected at one step."""

    step: Step
    fault: Fault


@dataclass(frozen=True, slots=True)
class Result:
    """The verdict on a cell and the reason for it."""

    cell: Cell
    verdict: Verdict
    seed: int
    # The problems of a red cell, or why a cell was not run.
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
# Why disk faults do not apply to a step.
_DISKLESS_REASON_BY_STEP: Final = {
    Step.SUBMIT: 'an entry keeps nothing on a disk; see claim',
    Step.PLACE: 'placing writes nothing; the entry has no disk',
    Step.START: 'an agent keeps nothing on a disk',
    Step.ANSWER: 'answering writes nothing; the entry has no disk',
}


def reason_not_to_run(cell: Cell) -> str:
    """Return why a fault does not apply to its step, or an empty string."""
    if cell.fault in _DISK_FAULTS:
        return _DISKLESS_REASON_BY_STEP.get(cell.step, '')
    return ''


def cells_of(step: Step) -> tuple[Cell, ...]:
    """Return all cells of a step."""
    return tuple(Cell(step, fault) for fault in Fault)
