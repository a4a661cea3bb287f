"""Proposal of commands that change the state of accepted jobs."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import Any
from typing import Final

from baobabgap.replication import ReplicatedLog
from baobabgap.telemetry import log_event
from baobabgap.wire import encode

# The result passed on for a command that has none of its own.
STORED: Final = 'stored'


class Committer:
    """Proposes commands and reports their results."""

    def __init__(self, log: ReplicatedLog) -> None:
        self._log: Final = log

    def propose(self, command: object, on_end: Callable[[Any], None]) -> None:
        """Propose one command.

        `on_end` is called with the result once the command is durable and
        applied, or with None if its outcome is unknown. It runs in the
        task that applies commands and must not block.
        """
        future = self._log.propose(encode([command]))

        def ended(done: Future[Any]) -> None:
            error = done.exception()
            if error is not None:
                log_event(
                    'command_outcome_unknown',
                    command=type(command).__name__,
                    error=str(error),
                )
                on_end(None)
                return
            result = done.result()
            on_end(STORED if result is None else result)

        future.add_done_callback(ended)


def ignore_result(result: object) -> None:
    """Ignore the result: a lost command is proposed again later."""
