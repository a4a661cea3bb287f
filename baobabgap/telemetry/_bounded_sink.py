"""A non-blocking, rate-limited log destination."""

from queue import Empty
from queue import Full
from queue import Queue
import threading
import time
from typing import Any
from typing import BinaryIO
from typing import Final

import orjson

_ENCODING: Final = orjson.OPT_APPEND_NEWLINE | orjson.OPT_NON_STR_KEYS
# Messages that may wait for the writer thread.
_MAX_QUEUED_MESSAGES: Final = 5_000
# Token bucket: average rate of written lines, and largest burst.
_MAX_LINES_PER_S: Final = 1_500.0
_MAX_BURST_LINES: Final = 6_000.0
# Lines per write call.
_MAX_BATCH_LINES: Final = 200
# Time that the writer thread collects lines for one write call.
_BATCH_DELAY_S: Final = 0.02


class BoundedSink:
    """Writes messages as JSON lines from its own thread.

    Messages that don't fit into the queue or exceed the rate are dropped
    and counted; a `log_lines_dropped` line reports how many.
    """

    def __init__(self, stream: BinaryIO) -> None:
        self._stream: Final = stream
        self._queue: Queue[dict[str, Any]] = Queue(_MAX_QUEUED_MESSAGES)
        self._dropped_count = 0
        self._tokens = _MAX_BURST_LINES
        self._refilled_at = time.monotonic()
        self._report_fields: dict[str, Any] = {}
        thread = threading.Thread(target=self._write_forever, daemon=True)
        thread.start()

    def add_fields(self, **fields: Any) -> None:
        """Add fields to the `log_lines_dropped` lines."""
        self._report_fields.update(fields)

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue one eliot message, or drop it; never blocks."""
        if not self._take_token():
            self._dropped_count += 1
            return
        try:
            self._queue.put_nowait(message)
        except Full:
            self._dropped_count += 1

    def flush(self, timeout_s: float) -> None:
        """Wait until the queued messages are written, or for the timeout."""
        deadline = time.monotonic() + timeout_s
        while not self._queue.empty() and time.monotonic() < deadline:
            time.sleep(_BATCH_DELAY_S)
        time.sleep(2 * _BATCH_DELAY_S)

    def _take_token(self) -> bool:
        now = time.monotonic()
        self._tokens = min(
            _MAX_BURST_LINES,
            self._tokens + (now - self._refilled_at) * _MAX_LINES_PER_S,
        )
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write_forever(self) -> None:
        while True:
            lines = [_encode(self._queue.get())]
            time.sleep(_BATCH_DELAY_S)
            try:
                while len(lines) < _MAX_BATCH_LINES:
                    lines.append(_encode(self._queue.get_nowait()))
            except Empty:
                pass
            if self._dropped_count:
                lines.append(self._encode_drop_report())
            try:
                self._stream.write(b''.join(lines))
                self._stream.flush()
            except OSError:
                # The log has no reader; the process continues without it.
                self._dropped_count += len(lines)

    def _encode_drop_report(self) -> bytes:
        count, self._dropped_count = self._dropped_count, 0
        return _encode(
            {
                'timestamp': time.time(),
                'message_type': 'log_lines_dropped',
                'count': count,
                **self._report_fields,
            }
        )


def _encode(message: dict[str, Any]) -> bytes:
    try:
        return orjson.dumps(message, default=str, option=_ENCODING)
    except TypeError as error:
        # For example text with a lone surrogate. Without this line, one such
        # message would end the writer thread.
        return orjson.dumps(
            {
                'timestamp': time.time(),
                'message_type': 'log_line_not_encodable',
                'event': repr(message.get('message_type')),
                'error': repr(error),
            },
            option=_ENCODING,
        )
