"""Tests of the log destination under load and with a stalled reader."""

import io
import json
import threading
import time
from typing import Any
import unittest

from baobabgap.accepted import JobState
from baobabgap.telemetry import BoundedSink

TIMEOUT_S = 20.0
MESSAGE_COUNT = 20_000


class BlockedStream(io.BytesIO):
    """Blocks writes until `released` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, data: Any) -> int:
        self.released.wait(TIMEOUT_S)
        return super().write(data)


def parse_lines(stream: io.BytesIO) -> list[dict[str, Any]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


class BoundedSinkTest(unittest.TestCase):
    def test_writes_one_json_line_a_message(self) -> None:
        stream = io.BytesIO()
        sink = BoundedSink(stream)
        sink({'message_type': 'a', 'value': 1})
        sink({'message_type': 'b', 'value': OSError('x')})
        sink.flush(TIMEOUT_S)
        self.assertEqual(
            ['a', 'b'], [line['message_type'] for line in parse_lines(stream)]
        )

    def test_message_that_cannot_be_encoded_does_not_end_the_log(
        self,
    ) -> None:
        cases = [
            ('path', 'lone surrogate \udc80'),
            ('number', 2**70),
            ('runs', {JobState.FAILED: 1, None: 2}),
        ]
        for name, value in cases:
            with self.subTest(name=name):
                stream = io.BytesIO()
                sink = BoundedSink(stream)
                sink({'message_type': 'a', name: value})
                sink({'message_type': 'b'})
                sink.flush(TIMEOUT_S)
                lines = parse_lines(stream)
                self.assertEqual(2, len(lines))
                self.assertEqual('b', lines[-1]['message_type'])

    def test_blocked_reader_blocks_no_caller_and_drops_are_counted(
        self,
    ) -> None:
        """A stalled log reader doesn't stall the process that logs."""
        stream = BlockedStream()
        sink = BoundedSink(stream)
        sink.add_fields(process='p')
        # Would never end if a full queue blocked the callers.
        for number in range(MESSAGE_COUNT):
            sink({'message_type': 'm', 'number': number})
        stream.released.set()
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            sink.flush(TIMEOUT_S)
            drop_reports = [
                line
                for line in parse_lines(stream)
                if line['message_type'] == 'log_lines_dropped'
            ]
            written_count = len(parse_lines(stream)) - len(drop_reports)
            if (
                written_count + sum(line['count'] for line in drop_reports)
                == MESSAGE_COUNT
            ):
                break
            time.sleep(0.05)
        self.assertEqual(
            MESSAGE_COUNT,
            written_count + sum(line['count'] for line in drop_reports),
        )
        self.assertLess(written_count, MESSAGE_COUNT)
        self.assertEqual('p', drop_reports[0]['process'])


if __name__ == '__main__':
    unittest.main()
