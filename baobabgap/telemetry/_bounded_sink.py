"""A destination of log lines that never blocks and is bounded in volume."""

from queue import Empty
from queue import Full
from queue import Queue
import threading
import time
from typing import Any
from typing import BinaryIO
from typing import Final

import orjson

# Messages that may wait for the writing task.
_QUEUED_MESSAGES: Final = 5_000
# Lines a second that are written at most, on average over a burst.
_LINES_PER_S: Final = 1_500.0
_BURST_LINES: Final = 6_000.0
# Lines that are written with one call at most.
_LINES_IN_BATCH: Final = 200
# Seconds that the writing task gathers lines for one call.
_GATHER_S: Final = 0.02


class BoundedSink:
    """Writes messages as JSON lines from a task of its own.

    What doesn't fit into the queue, or would exceed the rate, is dropped
    and counted; a line `log_lines_dropped` says how many.
    """

    def __init__(self, stream: BinaryIO) -> None:
        self._stream: Final = stream
        self._queue: Queue[dict[str, Any]] = Queue(_QUEUED_MESSAGES)
        self._dropped = 0
        self._tokens = _BURST_LINES
        self._filled_at = time.monotonic()
        self._fields: dict[str, Any] = {}
        thread = threading.Thread(target=self._write_forever, daemon=True)
        thread.start()

    def add_fields(self, **fields: Any) -> None:
        """Add fields to the lines that this class writes itself."""
        self._fields.update(fields)

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message of eliot."""
        if not self._take_token():
            self._dropped += 1
            return
        try:
            self._queue.put_nowait(message)
        except Full:
            self._dropped += 1

    def flush(self, timeout_s: float) -> None:
        """Wait until what was queued is written."""
        give_up_at = time.monotonic() + timeout_s
        while not self._queue.empty() and time.monotonic() < give_up_at:
            time.sleep(_GATHER_S)
        time.sleep(2 * _GATHER_S)

    def _take_token(self) -> bool:
        now = time.monotonic()
        self._tokens = min(
            _BURST_LINES,
            self._tokens + (now - self._filled_at) * _LINES_PER_S,
        )
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write_forever(self) -> None:
        while True:
            lines = [_encode(self._queue.get())]
            time.sleep(_GATHER_S)
            try:
                while len(lines) < _LINES_IN_BATCH:
                    lines.append(_encode(self._queue.get_nowait()))
            except Empty:
                pass
            if self._dropped:
                lines.append(self._dropped_line())
            try:
                self._stream.write(b''.join(lines))
                self._stream.flush()
            except OSError:
                # Nobody reads the log; the process must go on without it.
                self._dropped += len(lines)

    def _dropped_line(self) -> bytes:
        count, self._dropped = self._dropped, 0
        return _encode(
            {
                'timestamp': time.time(),
                'message_type': 'log_lines_dropped',
                'count': count,
                **self._fields,
            }
        )


def _encode(message: dict[str, Any]) -> bytes:
    return orjson.dumps(message, default=str, option=orjson.OPT_APPEND_NEWLINE)
