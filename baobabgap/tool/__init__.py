"""The command-line tool for clients and operators."""

import sys

from fire import Fire

from baobabgap._exceptions import BaobabgapError
from baobabgap._exceptions import ConnectionLost
from baobabgap._exceptions import InvalidInput
from baobabgap._exceptions import SettingsError
from baobabgap.tool._commands import Commands
from baobabgap.tool._commands import DeferredAction
from baobabgap.tool._exit import ExitCode
from baobabgap.tool._exit import ToolError

__all__ = ['ExitCode', 'main']


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    deferred_action = DeferredAction()
    try:
        Fire(Commands(deferred_action), command=arguments, name='baobabgap')
        if deferred_action.action is None:
            return ExitCode.USAGE
        return deferred_action.action()
    except ToolError as error:
        return _print_error(error, error.exit_code)
    except (InvalidInput, SettingsError) as error:
        return _print_error(error, ExitCode.USAGE)
    except ConnectionLost as error:
        return _print_error(error, ExitCode.UNREACHABLE)


def _print_error(error: BaobabgapError, exit_code: ExitCode) -> ExitCode:
    print(f'baobabgap: {error}', file=sys.stderr)
    return exit_code
