"""Reads job and ticket files."""

import json
from pathlib import Path
import secrets
import time
from typing import Any
from typing import Final

from baobabgap._exceptions import InvalidInput
from baobabgap.jobs import JobSubmission
from baobabgap.settingsfile import read_yaml

_JSON_LINES_SUFFIXES: Final = ('.jsonl', '.ndjson')
_NONCE_BYTES: Final = 6
_DEFAULT_CLIENT: Final = 'tool'


def read_document(path: str) -> Any:
    """Read one YAML or JSON document; raise `InvalidInput` if malformed."""
    text = _read_text(path)
    try:
        if path.endswith('.json'):
            return json.loads(text)
        return read_yaml(text)
    except (ValueError, RecursionError) as error:
        raise InvalidInput(f'{path}: {error}', step='read') from error


def read_jobs(path: str) -> list[dict[str, Any]]:
    """Read jobs from JSON lines, or a list or single job in YAML or JSON.

    A job without an identifier gets a generated one. Its client part is
    the key `client` of the job, which the tool removes before submission.
    Raises `InvalidInput`, which names the file and the job.
    """
    if path.endswith(_JSON_LINES_SUFFIXES):
        documents = _read_json_lines(path)
    else:
        document = read_document(path)
        documents = document if isinstance(document, list) else [document]
    if not documents:
        raise InvalidInput(f'{path}: there are no jobs', step='read')
    jobs = []
    for number, job in enumerate(documents, start=1):
        try:
            jobs.append(_prepare_job(job))
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
    documents = []
    lines = _read_text(path).splitlines()
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            documents.append(json.loads(line))
        except (ValueError, RecursionError) as error:
            raise InvalidInput(
                f'{path}: line {number}: {error}', step='read'
            ) from error
    return documents


def _prepare_job(job: Any) -> dict[str, Any]:
    """Validate a job and generate an identifier if it has none."""
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
