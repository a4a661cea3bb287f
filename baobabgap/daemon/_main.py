"""The command line of the daemon."""

import argparse
import sys
from typing import Any

from baobabgap._exceptions import BaobabgapError
from baobabgap.daemon._run import run_role
from baobabgap.settings import Settings
from baobabgap.settingsfile import load_settings
from baobabgap.settingsfile import settings_from_document


def main() -> int:
    """Run one role until a stop signal, or until a part of it fails.

    Returns the exit status: 0 after a planned stop, 1 if a task failed without
    which the role can't work, 2 if the role could not start.
    """
    arguments = _build_parser().parse_args()
    try:
        has_succeeded = run_role(_settings_from(arguments))
    except BaobabgapError as error:
        print(f'baobabgapd: {error}', file=sys.stderr)
        return 2
    return 0 if has_succeeded else 1


def _settings_from(arguments: argparse.Namespace) -> Settings:
    if arguments.settings:
        return load_settings(arguments.settings)
    document: dict[str, Any] = {
        'role': 'standalone',
        'name': 'standalone',
        'listen': {'http_port': arguments.http_port},
        'log_file': arguments.log_file,
        'control': {'data_folder': arguments.data_folder},
    }
    return settings_from_document(document, source='command line')


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='baobabgapd', description='Runs one role of baobabgap.'
    )
    role_source = parser.add_mutually_exclusive_group(required=True)
    role_source.add_argument(
        '--settings', help='a YAML file; see examples/local'
    )
    role_source.add_argument(
        '--role',
        choices=['standalone'],
        help='all roles and a stand-in upstream in one process',
    )
    parser.add_argument('--http-port', type=int, default=8080)
    parser.add_argument('--log-file', default='')
    parser.add_argument('--data-folder', default='var/standalone')
    return parser
