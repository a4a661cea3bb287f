"""Counters of messages and bytes on the links of this process."""

from collections import Counter
from collections.abc import Sequence
import threading
from typing import Final


class Traffic:
    """Counters over all links of the process, open and closed."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._received_by_kind: Counter[str] = Counter()
        self._bytes_received = 0
        self._bytes_sent = 0

    def count_received(
        self, messages: Sequence[object], frame_bytes: int
    ) -> None:
        """Count the messages and bytes of one received frame."""
        with self._lock:
            self._bytes_received += frame_bytes
            for message in messages:
                self._received_by_kind[type(message).__name__] += 1

    def count_sent(self, frame_bytes: int) -> None:
        """Count the bytes of one sent frame."""
        with self._lock:
            self._bytes_sent += frame_bytes

    def as_metrics(self) -> dict[str, float]:
        """Return the counters by their Prometheus names."""
        with self._lock:
            value_by_name: dict[str, float] = {
                f'baobabgap_messages_received_total{{kind="{kind}"}}': count
                for kind, count in self._received_by_kind.items()
            }
            value_by_name['baobabgap_link_bytes_received_total'] = (
                self._bytes_received
            )
            value_by_name['baobabgap_link_bytes_sent_total'] = self._bytes_sent
        return value_by_name


PROCESS_TRAFFIC: Final = Traffic()
