"""Log lines under load, and with a reader that doesn't read."""

import io
import json
import threading
import time
from typing import Any
import unittest

from baobabgap.telemetry import BoundedSink

WAIT_S = 20.0
MESSAGES = 20_000


class BlockedStream(io.BytesIO):
    """Takes nothing until it is let go."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, data: Any) -> int:
        self.released.wait(WAIT_S)
        return super().write(data)


def lines_of(stream: io.BytesIO) -> list[dict[str, Any]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


class BoundedSinkTest(unittest.TestCase):
    def test_writes_one_json_line_a_message(self) -> None:
        stream = io.BytesIO()
        sink = BoundedSink(stream)
        sink({'message_type': 'a', 'value': 1})
        sink({'message_type': 'b', 'value': OSError('x')})
        sink.flush(WAIT_S)
        self.assertEqual(
            ['a', 'b'], [line['message_type'] for line in lines_of(stream)]
        )

    def test_blocked_reader_blocks_nobody_and_drops_are_counted(
        self,
    ) -> None:
        stream = BlockedStream()
        sink = BoundedSink(stream)
        sink.add_fields(process='p')
        # Would never end if the callers waited for the reader.
        for number in range(MESSAGES):
            sink({'message_type': 'm', 'number': number})
        stream.released.set()
        give_up_at = time.monotonic() + WAIT_S
        while time.monotonic() < give_up_at:
            sink.flush(WAIT_S)
            dropped = [
                line
                for line in lines_of(stream)
                if line['message_type'] == 'log_lines_dropped'
            ]
            written = len(lines_of(stream)) - len(dropped)
            if written + sum(line['count'] for line in dropped) == MESSAGES:
                break
            time.sleep(0.05)
        self.assertEqual(
            MESSAGES, written + sum(line['count'] for line in dropped)
        )
        self.assertLess(written, MESSAGES)
        self.assertEqual('p', dropped[0]['process'])


if __name__ == '__main__':
    unittest.main()
