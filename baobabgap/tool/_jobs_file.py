"""Reading files of jobs and of tickets."""

import json
from pathlib import Path
import secrets
import time
from typing import Any
from typing import Final

from baobabgap._exceptions import InvalidInput
from baobabgap.jobs import JobSubmission
from baobabgap.settings import read_yaml

_JSON_LINES_SUFFIXES: Final = ('.jsonl', '.ndjson')
_NONCE_BYTES: Final = 6
_DEFAULT_CLIENT: Final = 'tool'


def read_document(path: str) -> Any:
    """Read one YAML or JSON document; raise `InvalidInput` if broken."""
    text = _read_text(path)
    try:
        if path.endswith('.json'):
            return json.loads(text)
        return read_yaml(text)
    except (ValueError, RecursionError) as error:
        raise InvalidInput(f'{path}: {error}', step='read') from error


def read_jobs(path: str) -> list[dict[str, Any]]:
    """Read jobs: JSON lines, or a list in YAML or JSON, or a single one.

    A job without an identifier gets one; its client is the job's key
    `client`, which only the tool knows. Raises `InvalidInput` that names
    the file and the job.
    """
    if path.endswith(_JSON_LINES_SUFFIXES):
        found = _read_json_lines(path)
    else:
        document = read_document(path)
        found = document if isinstance(document, list) else [document]
    if not found:
        raise InvalidInput(f'{path}: there are no jobs', step='read')
    jobs = []
    for number, job in enumerate(found, start=1):
        try:
            jobs.append(_complete(job))
        except InvalidInput as error:
            raise InvalidInput(
                f'{path}: job {number}: {error.message}', step='read'
            ) from error
    return jobs


def _read_text(path: str) -> str:
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeError) as error:
        raise InvalidInput(f'{path}: {error}', step='read') from error


def _read_json_lines(path: str) -> list[Any]:
    found = []
    lines = _read_text(path).splitlines()
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            found.append(json.loads(line))
        except (ValueError, RecursionError) as error:
            raise InvalidInput(
                f'{path}: line {number}: {error}', step='read'
            ) from error
    return found


def _complete(job: Any) -> dict[str, Any]:
    """Check a job and give it an identifier if it has none."""
    if not isinstance(job, dict):
        raise InvalidInput('must be a map', step='read')
    document = dict(job)
    client = document.pop('client', _DEFAULT_CLIENT)
    if 'identifier' not in document:
        issued_ms = time.time_ns() // 1_000_000
        nonce = secrets.token_hex(_NONCE_BYTES)
        document['identifier'] = f'{client}.{issued_ms}.{nonce}'
    JobSubmission.from_document(document)
    return document
