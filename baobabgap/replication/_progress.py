"""What a leader knows about one peer's log."""

from collections import deque

from baobabgap.replication._snapshot import Snapshot


class Progress:
    """How far one peer has come, and what is on its way there.

    After a new link or a refusal the leader probes: it sends one message
    and waits. Once the logs agree it streams, a bounded amount ahead of
    what the peer has acknowledged as durable.
    """

    def __init__(self, next_index: int, answered_at: float) -> None:
        # The next entry to send.
        self.next_index = next_index
        # The last entry known to be durable there; only ever grows.
        self.durable = 0
        # Whether the point of agreement is still sought.
        self.probing = True
        # Whether an answer must come before more is sent.
        self.awaiting = False
        # When the peer last answered, by the monotonic clock.
        self.answered_at = answered_at
        # The latest read round that the peer has confirmed.
        self.confirmed_round = 0
        # The latest read round sent, and the commit index sent.
        self.sent_round = 0
        self.sent_commit = 0
        # When the last message was sent, by the monotonic clock.
        self.sent_at = 0.0
        # A snapshot on its way, and how many of its bytes are there.
        self.snapshot: Snapshot | None = None
        self.snapshot_bytes = 0
        # Last index and size of each message not yet durable there.
        self._unacknowledged: deque[tuple[int, int]] = deque()
        self.unacknowledged_bytes = 0

    def restart_on_new_link(self, next_index: int) -> None:
        """Forget what was on its way on the old link."""
        self.next_index = next_index
        self.probing = True
        self.awaiting = False
        self.snapshot = None
        self.sent_round = 0
        self.sent_commit = 0
        self._forget_unacknowledged()

    def note_sent(self, last_index: int, size: int) -> None:
        """Take note of entries sent."""
        self.next_index = last_index + 1
        self._unacknowledged.append((last_index, size))
        self.unacknowledged_bytes += size

    @property
    def unacknowledged_messages(self) -> int:
        """How many messages are not yet durable there."""
        return len(self._unacknowledged)

    def note_accepted(self, durable: int) -> None:
        """Take note that the peer agrees, durable up to an index."""
        self.probing = False
        self.awaiting = False
        self.durable = max(self.durable, durable)
        while self._unacknowledged and self._unacknowledged[0][0] <= durable:
            _, size = self._unacknowledged.popleft()
            self.unacknowledged_bytes -= size

    def note_refused(self, agreeing_index: int) -> None:
        """Go back to where the logs may agree."""
        self.probing = True
        self.awaiting = False
        self.next_index = max(1, min(self.next_index, agreeing_index + 1))
        self._forget_unacknowledged()

    def note_installed(self, index: int) -> None:
        """Go on after a snapshot."""
        self.snapshot = None
        self.next_index = index + 1
        self.note_accepted(index)

    def _forget_unacknowledged(self) -> None:
        self._unacknowledged.clear()
        self.unacknowledged_bytes = 0
