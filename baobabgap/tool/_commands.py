"""The commands of the tool, as fire shows them.

fire calls a command before it has looked at all arguments, so that a
mistyped option would be noticed only after a host was drained. Therefore
a command just notes what to do, and `main` does it once fire is content.
All arguments stay text until a command reads them, because fire would
turn a job's identifier or a file's name into a number where it can.
"""

from collections.abc import Callable
from functools import partial
import os
from typing import Any
from typing import Final
from typing import TypeVar

from fire.decorators import SetParseFn

from baobabgap._exceptions import InvalidInput
from baobabgap.tool._exit import ExitCode
from baobabgap.tool._job_actions import cancel
from baobabgap.tool._job_actions import show_status
from baobabgap.tool._job_actions import submit
from baobabgap.tool._operator_actions import check_config
from baobabgap.tool._operator_actions import drain
from baobabgap.tool._operator_actions import put_ticket
from baobabgap.tool._operator_actions import show_metrics
from baobabgap.tool._operator_actions import show_page
from baobabgap.tool._timeline_action import show_timeline

Action = Callable[[], ExitCode]

_ENTRIES_VARIABLE: Final = 'BAOBABGAP_ENTRIES'
DEFAULT_ENTRIES: Final = os.environ.get(_ENTRIES_VARIABLE, '127.0.0.1:8080')

Command = TypeVar('Command', bound=Callable[..., None])


def _as_text(command: Command) -> Command:
    """Tell fire to hand over the command's arguments as text."""
    decorated: Command = SetParseFn(str)(command)
    return decorated


class Plan:
    """What the command line asks for."""

    def __init__(self) -> None:
        self.action: Action | None = None

    def note(self, function: Callable[..., ExitCode], *arguments: Any) -> None:
        """Keep what is to be done."""
        self.action = partial(function, *arguments)


class TicketCommands:
    """Change tickets: put one, show what is in force, list all."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan

    @_as_text
    def put(
        self,
        file: str,
        *,
        number: str,
        entries: str = DEFAULT_ENTRIES,
        json: str = 'False',
    ) -> None:
        """Put the ticket in FILE, a YAML map of keys and whole states."""
        self._plan.note(
            put_ticket, file, _number('number', number), entries, _flag(json)
        )

    @_as_text
    def show(
        self, *, entries: str = DEFAULT_ENTRIES, json: str = 'False'
    ) -> None:
        """Show the configuration in force, key by key."""
        self._plan.note(show_page, 'configuration', entries, _flag(json))

    @_as_text
    def history(
        self, *, entries: str = DEFAULT_ENTRIES, json: str = 'False'
    ) -> None:
        """List the accepted tickets."""
        self._plan.note(show_page, 'tickets', entries, _flag(json))


class Commands:
    """Submit jobs to baobabgap, and operate it.

    ENTRIES is a list host:port,host:port, tried in turn; its default
    comes from BAOBABGAP_ENTRIES. --json prints JSON lines for programs.

    Exit codes: 0 all whole or done, 1 a job failed, 2 wrong usage or
    input, 3 no entry answered, 4 refused, 5 not ended yet.
    """

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self.ticket = TicketCommands(plan)

    @_as_text
    def submit(
        self,
        file: str,
        *,
        entries: str = DEFAULT_ENTRIES,
        concurrency: str = '16',
        json: str = 'False',
    ) -> None:
        """Submit the jobs in FILE (JSON lines, YAML or JSON)."""
        most = _number('concurrency', concurrency)
        self._plan.note(submit, file, entries, most, _flag(json))

    @_as_text
    def status(
        self,
        job: str,
        *,
        wait_ms: str = '1000',
        entries: str = DEFAULT_ENTRIES,
        json: str = 'False',
    ) -> None:
        """Show how JOB ended, or that it hasn't after WAIT_MS."""
        wait = _number('wait_ms', wait_ms)
        self._plan.note(show_status, job, wait, entries, _flag(json))

    @_as_text
    def cancel(
        self,
        job: str,
        *,
        entries: str = DEFAULT_ENTRIES,
        json: str = 'False',
    ) -> None:
        """Cancel JOB and show how it ended."""
        self._plan.note(cancel, job, entries, _flag(json))

    @_as_text
    def members(
        self, *, entries: str = DEFAULT_ENTRIES, json: str = 'False'
    ) -> None:
        """List the processes of the system."""
        self._plan.note(show_page, 'members', entries, _flag(json))

    @_as_text
    def control(
        self, *, entries: str = DEFAULT_ENTRIES, json: str = 'False'
    ) -> None:
        """Show the state of the control group."""
        self._plan.note(show_page, 'status', entries, _flag(json))

    @_as_text
    def drain(self, entry: str) -> None:
        """Drain the entry at ENTRY (host:port) for a planned stop."""
        self._plan.note(drain, entry)

    @_as_text
    def metrics(self, entry: str = DEFAULT_ENTRIES) -> None:
        """Print the metrics of the entry at ENTRY (host:port)."""
        self._plan.note(show_metrics, entry)

    @_as_text
    def timeline(self, *job_and_files: str, json: str = 'False') -> None:
        """Show the time line of a job from log files: JOB FILE...

        Without a job, show the slowest jobs and those without an answer.
        """
        self._plan.note(show_timeline, job_and_files, _flag(json))

    @_as_text
    def check_config(self, *files: str) -> None:
        """Check settings files without starting anything."""
        self._plan.note(check_config, files)


def _flag(text: str) -> bool:
    if text not in ('True', 'False'):
        raise InvalidInput(f'takes no value (got {text!r})', step='--json')
    return text == 'True'


def _number(name: str, text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        raise InvalidInput(
            f'must be a whole number (got {text!r})', step=f'--{name}'
        )
    return int(text)
