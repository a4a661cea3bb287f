"""Reading the JSON document of a request, however broken it is."""

import json
from typing import Any
from typing import Final

from cheroot.errors import MaxSizeExceeded
from werkzeug import Request

from baobabgap._exceptions import BaobabgapError
from baobabgap.jobs import FailureCode

_JSON_TYPE: Final = 'application/json'
# cheroot's own text for a chunk above its limit.
_CHUNK_TOO_LARGE: Final = 'Request Entity Too Large'


class RequestRefused(BaobabgapError):
    """A request that broke the rules of HTTP or JSON; nothing was run.

    If `is_cut_off`, the end of its body can't be found, and the
    connection is of no more use.
    """

    def __init__(
        self,
        message: str,
        *,
        status: int,
        code: FailureCode,
        is_cut_off: bool = False,
    ) -> None:
        super().__init__(message, step='request')
        self.status = status
        self.code = code
        self.is_cut_off = is_cut_off


def read_document(request: Request, largest_body_bytes: int) -> Any:
    """Return the decoded JSON body; raise `RequestRefused` if wrong."""
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
    wanted = largest_body_bytes + 1 if length is None else length
    try:
        body: bytes = stream.read(wanted)
    except MaxSizeExceeded as error:
        raise _too_large(largest_body_bytes) from error
    except TimeoutError as error:
        raise _cut_off('the body did not arrive', status=408) from error
    except (OSError, ValueError) as error:
        if str(error) == _CHUNK_TOO_LARGE:
            raise _too_large(largest_body_bytes) from error
        raise _cut_off(f'the body is broken: {error}') from error
    if len(body) > largest_body_bytes:
        raise _too_large(largest_body_bytes)
    if length is not None and len(body) < length:
        raise _cut_off(f'the body ended after {len(body)} of {length} bytes')
    return body


def _refuse_lone_surrogates(document: Any) -> None:
    """Refuse text that UTF-8, and so CBOR, has no form for."""
    try:
        json.dumps(document, ensure_ascii=False).encode()
    except UnicodeEncodeError as error:
        raise _invalid('a text has half of a surrogate pair') from error


def _invalid(message: str, status: int = 400) -> RequestRefused:
    return RequestRefused(message, status=status, code=FailureCode.INVALID)


def _cut_off(message: str, status: int = 400) -> RequestRefused:
    return RequestRefused(
        message, status=status, code=FailureCode.INVALID, is_cut_off=True
    )


def _too_large(largest_body_bytes: int) -> RequestRefused:
    return RequestRefused(
        f'the body may have {largest_body_bytes} bytes at most',
        status=413,
        code=FailureCode.TOO_LARGE,
    )
