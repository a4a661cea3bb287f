"""The command-line tool for callers and operators."""

import sys

from fire import Fire

from baobabgap._exceptions import BaobabgapError
from baobabgap._exceptions import ConnectionLost
from baobabgap._exceptions import InvalidInput
from baobabgap._exceptions import SettingsError
from baobabgap.tool._commands import Commands
from baobabgap.tool._commands import Plan
from baobabgap.tool._exit import ExitCode
from baobabgap.tool._exit import ToolError

__all__ = ['ExitCode', 'main']


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    plan = Plan()
    try:
        Fire(Commands(plan), command=arguments, name='baobabgap')
        if plan.action is None:
            return ExitCode.USAGE
        return plan.action()
    except ToolError as error:
        return _explain(error, error.exit_code)
    except (InvalidInput, SettingsError) as error:
        return _explain(error, ExitCode.USAGE)
    except ConnectionLost as error:
        return _explain(error, ExitCode.UNREACHABLE)


def _explain(error: BaobabgapError, exit_code: ExitCode) -> ExitCode:
    print(f'baobabgap: {error}', file=sys.stderr)
    return exit_code
