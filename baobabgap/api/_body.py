"""Reads and validates the JSON body of a request."""

import json
from typing import Any
from typing import Final

from cheroot.errors import MaxSizeExceeded
from werkzeug import Request

from baobabgap._exceptions import BaobabgapError
from baobabgap.jobs import FailureCode

_JSON_TYPE: Final = 'application/json'
# Text of the error that cheroot raises for a chunk above its limit.
_CHUNK_TOO_LARGE: Final = 'Request Entity Too Large'


class RequestRefused(BaobabgapError):
    """A request that violates HTTP or JSON rules; nothing was run.

    If `must_close_connection`, the end of the body can't be located, so the
    connection can't be reused and has to be closed.
    """

    def __init__(
        self,
        message: str,
        *,
        status: int,
        code: FailureCode,
        must_close_connection: bool = False,
    ) -> None:
        super().__init__(message, step='request')
        self.status = status
        self.code = code
        self.must_close_connection = must_close_connection


def read_document(request: Request, largest_body_bytes: int) -> Any:
    """Return the decoded JSON body; raise `RequestRefused` if invalid."""
    if request.mimetype != _JSON_TYPE:
        raise _invalid(
            f'the content type must be {_JSON_TYPE} '
            f'(got {request.mimetype!r})',
            status=415,
        )
    body = _read_body(request, largest_body_bytes)
    try:
        document = json.loads(body)
    except RecursionError as error:
        raise _invalid('the JSON is nested too deeply') from error
    except ValueError as error:
        raise _invalid(f'the body is not JSON: {error}') from error
    if b'\\u' in body:
        _refuse_lone_surrogates(document)
    return document


def _read_body(request: Request, largest_body_bytes: int) -> bytes:
    stream = request.environ['wsgi.input']
    length = request.content_length
    if length is not None and length > largest_body_bytes:
        raise _too_large(largest_body_bytes)
    read_size_bytes = largest_body_bytes + 1 if length is None else length
    try:
        body: bytes = stream.read(read_size_bytes)
    except MaxSizeExceeded as error:
        raise _too_large(largest_body_bytes) from error
    except TimeoutError as error:
        raise _unreadable_body(
            'the body did not arrive', status=408
        ) from error
    except (OSError, ValueError) as error:
        if str(error) == _CHUNK_TOO_LARGE:
            raise _too_large(largest_body_bytes) from error
        raise _unreadable_body(f'the body is broken: {error}') from error
    if len(body) > largest_body_bytes:
        raise _too_large(largest_body_bytes)
    if length is not None and len(body) < length:
        raise _unreadable_body(
            f'the body ended after {len(body)} of {length} bytes'
        )
    return body


def _refuse_lone_surrogates(document: Any) -> None:
    """Refuse text that can't be encoded as UTF-8, and so not as CBOR."""
    try:
        json.dumps(document, ensure_ascii=False).encode()
    except UnicodeEncodeError as error:
        raise _invalid('a text has half of a surrogate pair') from error


def _invalid(message: str, status: int = 400) -> RequestRefused:
    return RequestRefused(message, status=status, code=FailureCode.INVALID)


def _unreadable_body(message: str, status: int = 400) -> RequestRefused:
    return RequestRefused(
        message,
        status=status,
        code=FailureCode.INVALID,
        must_close_connection=True,
    )


def _too_large(largest_body_bytes: int) -> RequestRefused:
    return RequestRefused(
        f'the body may have {largest_body_bytes} bytes at most',
        status=413,
        code=FailureCode.TOO_LARGE,
    )
