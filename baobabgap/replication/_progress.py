"""The replication progress of one peer, as seen by the leader."""

from collections import deque

from baobabgap.replication._snapshot import Snapshot


class Progress:
    """The position of one peer in the log, and the messages in flight.

    After a new link or a refusal the leader probes: it sends one message
    and waits for the answer. Once the logs match, it sends entries up to
    a limit of unacknowledged bytes and messages.
    """

    def __init__(self, next_index: int, answered_at: float) -> None:
        # The next entry to send.
        self.next_index = next_index
        # The last index known to be durable on the peer; it never decreases
        # on the same link.
        self.durable_index = 0
        # Whether the index up to which the logs match is unknown.
        self.probing = True
        # Whether to send nothing more before an answer arrives.
        self.awaiting_answer = False
        # The monotonic time of the last answer from the peer.
        self.answered_at = answered_at
        # The latest read round that the peer has confirmed.
        self.confirmed_round = 0
        # The latest read round sent, and the latest commit index sent.
        self.sent_round = 0
        self.sent_commit = 0
        # The monotonic time of the last message to the peer.
        self.sent_at = 0.0
        # The snapshot in transfer, and the bytes of it that the peer has.
        self.snapshot: Snapshot | None = None
        self.snapshot_received_bytes = 0
        # Last index and size of each message not yet acknowledged.
        self._unacknowledged: deque[tuple[int, int]] = deque()
        self.unacknowledged_bytes = 0

    def restart_on_new_link(self, next_index: int) -> None:
        """Discard the messages in flight on the old link, and probe."""
        self.next_index = next_index
        self.probing = True
        self.awaiting_answer = False
        self.snapshot = None
        self.sent_round = 0
        self.sent_commit = 0
        self._forget_unacknowledged()

    def note_sent(self, last_index: int, size: int) -> None:
        """Record a message with entries as sent."""
        self.next_index = last_index + 1
        self._unacknowledged.append((last_index, size))
        self.unacknowledged_bytes += size

    @property
    def unacknowledged_messages(self) -> int:
        """The number of messages not yet acknowledged as durable."""
        return len(self._unacknowledged)

    def note_accepted(self, durable_index: int) -> None:
        """Record that the peer's log matches and its durable index."""
        self.probing = False
        self.awaiting_answer = False
        self.durable_index = max(self.durable_index, durable_index)
        while (
            self._unacknowledged
            and self._unacknowledged[0][0] <= durable_index
        ):
            _, size = self._unacknowledged.popleft()
            self.unacknowledged_bytes -= size

    def note_refused(self, possible_match: int) -> None:
        """Continue probing from the last index that may match."""
        self.probing = True
        self.awaiting_answer = False
        self.next_index = max(1, min(self.next_index, possible_match + 1))
        self._forget_unacknowledged()

    def note_installed(self, index: int) -> None:
        """Continue with the entries after an installed snapshot."""
        self.snapshot = None
        self.next_index = index + 1
        self.note_accepted(index)

    def _forget_unacknowledged(self) -> None:
        self._unacknowledged.clear()
        self.unacknowledged_bytes = 0
