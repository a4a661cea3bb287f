"""Exit codes of the tool, for scripts."""

from enum import IntEnum

from baobabgap._exceptions import BaobabgapError


class ExitCode(IntEnum):
    """How a command ended; docs/OPERATIONS.md explains each."""

    # All jobs whole, or the command carried out.
    DONE = 0
    # A job failed after it may have started.
    FAILED = 1
    # Wrong usage, or an input file that breaks the rules.
    USAGE = 2
    # No entry answered; whether something ran isn't known.
    UNREACHABLE = 3
    # Refused, and so not run; or a ticket that was not accepted.
    REFUSED = 4
    # The job has not ended yet.
    PENDING = 5


class ToolError(BaobabgapError):
    """An error that ends the tool with an exit code."""

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
