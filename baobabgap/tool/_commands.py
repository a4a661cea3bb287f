"""The commands of the tool, exposed through fire.

fire calls a command before it has checked all arguments, so a mistyped
option would be reported only after a host was drained. A command
therefore only stores its action, and `main` runs it once fire has
accepted the command line. All arguments stay strings until a command
parses them, because fire converts job identifiers and file names that
look like numbers.
"""

from collections.abc import Callable
from functools import partial
import os
from typing import Any
from typing import Final
from typing import TypeVar

from fire.decorators import SetParseFn

from baobabgap._exceptions import InvalidInput
from baobabgap.tool._evacuation_action import evacuate
from baobabgap.tool._exit import ExitCode
from baobabgap.tool._job_actions import cancel
from baobabgap.tool._job_actions import show_status
from baobabgap.tool._job_actions import submit
from baobabgap.tool._operator_actions import check_config
from baobabgap.tool._operator_actions import drain
from baobabgap.tool._operator_actions import put_ticket
from baobabgap.tool._operator_actions import show_metrics
from baobabgap.tool._operator_actions import show_page
from baobabgap.tool._ticket_check import check_ticket
from baobabgap.tool._timeline_action import show_timeline

Action = Callable[[], ExitCode]

_ENTRIES_VARIABLE: Final = 'BAOBABGAP_ENTRIES'
DEFAULT_ENTRIES: Final = os.environ.get(_ENTRIES_VARIABLE, '127.0.0.1:8080')

Command = TypeVar('Command', bound=Callable[..., None])


def _with_string_arguments(command: Command) -> Command:
    """Make fire pass the arguments of a command as strings."""
    decorated: Command = SetParseFn(str)(command)
    return decorated


class DeferredAction:
    """The action selected by the command line, run after parsing."""

    def __init__(self) -> None:
        self.action: Action | None = None

    def store(
        self, function: Callable[..., ExitCode], *arguments: Any
    ) -> None:
        """Store the function and arguments to call."""
        self.action = partial(function, *arguments)


class TicketCommands:
    """Change tickets: put one, show what is in force, list all."""

    def __init__(self, deferred_action: DeferredAction) -> None:
        self._deferred_action = deferred_action

    @_with_string_arguments
    def put(
        self,
        file: str,
        *,
        number: str,
        entries: str = DEFAULT_ENTRIES,
        json: str = 'False',
    ) -> None:
        """Put the ticket in FILE, a YAML map of keys and whole states."""
        self._deferred_action.store(
            put_ticket,
            file,
            _parse_number('number', number),
            entries,
            _parse_flag(json),
        )

    @_with_string_arguments
    def show(
        self, *, entries: str = DEFAULT_ENTRIES, json: str = 'False'
    ) -> None:
        """Show the configuration in force, key by key."""
        self._deferred_action.store(
            show_page, 'configuration', entries, _parse_flag(json)
        )

    @_with_string_arguments
    def history(
        self, *, entries: str = DEFAULT_ENTRIES, json: str = 'False'
    ) -> None:
        """List the accepted tickets."""
        self._deferred_action.store(
            show_page, 'tickets', entries, _parse_flag(json)
        )


class Commands:
    """Submit jobs to baobabgap, and operate it.

    ENTRIES is a list host:port,host:port, tried in turn; its default
    comes from BAOBABGAP_ENTRIES. --json prints JSON lines for programs.

    Exit codes: 0 all whole or done, 1 a job failed, 2 wrong usage or
    input, 3 no entry answered, 4 refused, 5 not ended yet, 6 valid with
    warnings.
    """

    def __init__(self, deferred_action: DeferredAction) -> None:
        self._deferred_action = deferred_action
        self.ticket = TicketCommands(deferred_action)

    @_with_string_arguments
    def submit(
        self,
        file: str,
        *,
        entries: str = DEFAULT_ENTRIES,
        concurrency: str = '16',
        json: str = 'False',
    ) -> None:
        """Submit the jobs in FILE (JSON lines, YAML or JSON)."""
        max_concurrency = _parse_number('concurrency', concurrency)
        self._deferred_action.store(
            submit, file, entries, max_concurrency, _parse_flag(json)
        )

    @_with_string_arguments
    def status(
        self,
        job: str,
        *,
        wait_ms: str = '1000',
        entries: str = DEFAULT_ENTRIES,
        json: str = 'False',
    ) -> None:
        """Show how JOB ended, or that it hasn't after WAIT_MS."""
        wait = _parse_number('wait_ms', wait_ms)
        self._deferred_action.store(
            show_status, job, wait, entries, _parse_flag(json)
        )

    @_with_string_arguments
    def cancel(
        self,
        job: str,
        *,
        entries: str = DEFAULT_ENTRIES,
        json: str = 'False',
    ) -> None:
        """Cancel JOB and show how it ended."""
        self._deferred_action.store(cancel, job, entries, _parse_flag(json))

    @_with_string_arguments
    def members(
        self, *, entries: str = DEFAULT_ENTRIES, json: str = 'False'
    ) -> None:
        """List the processes of the system."""
        self._deferred_action.store(
            show_page, 'members', entries, _parse_flag(json)
        )

    @_with_string_arguments
    def control(
        self, *, entries: str = DEFAULT_ENTRIES, json: str = 'False'
    ) -> None:
        """Show the state of the control group."""
        self._deferred_action.store(
            show_page, 'status', entries, _parse_flag(json)
        )

    @_with_string_arguments
    def drain(self, entry: str) -> None:
        """Drain the entry at ENTRY (host:port) for a planned stop."""
        self._deferred_action.store(drain, entry)

    @_with_string_arguments
    def evacuate(
        self,
        zone: str,
        *,
        end: str = 'False',
        entries: str = DEFAULT_ENTRIES,
        json: str = 'False',
    ) -> None:
        """Start nothing more in ZONE; with --end, take that back."""
        self._deferred_action.store(
            evacuate,
            zone,
            _parse_switch('end', end),
            entries,
            _parse_flag(json),
        )

    @_with_string_arguments
    def metrics(self, entry: str = DEFAULT_ENTRIES) -> None:
        """Print the metrics of the entry at ENTRY (host:port)."""
        self._deferred_action.store(show_metrics, entry)

    @_with_string_arguments
    def timeline(self, *job_and_files: str, json: str = 'False') -> None:
        """Show the time line of a job from log files: JOB FILE...

        Without a job, show the slowest jobs and those without an answer.
        """
        self._deferred_action.store(
            show_timeline, job_and_files, _parse_flag(json)
        )

    @_with_string_arguments
    def check_ticket(
        self,
        file: str,
        *,
        entries: str = DEFAULT_ENTRIES,
        offline: str = 'False',
        upstreams: str = '',
        json: str = 'False',
    ) -> None:
        """Check the ticket in FILE against the state in force; send nothing.

        With --offline, it is checked by itself. UPSTREAMS is a list
        name,name of all upstreams, to find limits that match none.
        """
        self._deferred_action.store(
            check_ticket,
            file,
            '' if _parse_flag(offline) else entries,
            upstreams,
            _parse_flag(json),
        )

    @_with_string_arguments
    def check_config(self, *files: str) -> None:
        """Check settings files without starting anything."""
        self._deferred_action.store(check_config, files)


def _parse_flag(text: str) -> bool:
    return _parse_switch('json', text)


def _parse_switch(name: str, text: str) -> bool:
    if text not in ('True', 'False'):
        raise InvalidInput(f'takes no value (got {text!r})', step=f'--{name}')
    return text == 'True'


def _parse_number(name: str, text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        raise InvalidInput(
            f'must be a whole number (got {text!r})', step=f'--{name}'
        )
    return int(text)
