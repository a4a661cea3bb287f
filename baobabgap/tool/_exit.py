"""Exit codes of the tool, for scripts."""

from enum import IntEnum

from baobabgap._exceptions import BaobabgapError


class ExitCode(IntEnum):
    """The result of a command; docs/OPERATIONS.md explains each code."""

    # All jobs are whole, or the command succeeded.
    DONE = 0
    # A job failed after it may have started.
    FAILED = 1
    # Wrong usage, or an invalid input file.
    USAGE = 2
    # No entry answered; it is unknown whether anything ran.
    UNREACHABLE = 3
    # The job was refused and not run, or the ticket was not accepted.
    REFUSED = 4
    # The job has not ended yet.
    PENDING = 5
    # The input would be accepted, but parts of it can hardly be meant.
    WARNINGS = 6


class ToolError(BaobabgapError):
    """An error that makes the tool exit with the given code."""

    def __init__(
        self,
        message: str,
        exit_code: ExitCode,
        *,
        step: str,
        peer: str = '',
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.exit_code = exit_code
