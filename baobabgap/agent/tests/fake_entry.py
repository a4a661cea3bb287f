"""Fake entry that records the messages of agents."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
import threading
import time
from typing import Any
from typing import Final
import uuid

from baobabgap.jobs import TaskSize
from baobabgap.messages import AcknowledgeResults
from baobabgap.messages import Hello
from baobabgap.messages import MemberRecord
from baobabgap.messages import PlaceTasks
from baobabgap.messages import SlotGrant
from baobabgap.messages import TaskPlacement
from baobabgap.messages import TaskResult
from baobabgap.messages import TaskResults
from baobabgap.messages import UpstreamOffer
from baobabgap.transport import Connection
from baobabgap.transport import LinkTiming
from baobabgap.transport import Listener

WAIT_S: Final = 20.0


class FakeEntry:
    """Accepts links from agents and places the tasks that a test gives."""

    def __init__(self, name: str = 'entry-a') -> None:
        self.name = name
        self.incarnation = uuid.uuid4().hex
        self.acknowledges = True
        self.offers: list[UpstreamOffer] = []
        self.grants: list[SlotGrant] = []
        self.results: list[TaskResult] = []
        self.link: Connection | None = None
        self._changed = threading.Condition()
        self._pool = ThreadPoolExecutor(64)
        self._listener = Listener(
            '127.0.0.1',
            0,
            lambda: Hello(name, 'entry', self.incarnation),
            LinkTiming(0.2, 2.0),
            self._pool,
            self._serve,
        )
        self._listener.start()

    @property
    def member(self) -> MemberRecord:
        """The entry's record as the control group lists it."""
        address = f'127.0.0.1:{self._listener.port}'
        return MemberRecord(
            self.name, 'entry', self.incarnation, address, 'local-a', True
        )

    def stop(self) -> None:
        """Close the link and the port."""
        self._listener.stop()
        self.drop_link()
        self._pool.shutdown(wait=False)

    def drop_link(self) -> None:
        """Close the link; the agent redials."""
        link = self.link
        if link is not None:
            link.close()

    def place(
        self,
        job: str,
        tasks: dict[str, Any],
        *,
        epoch: int | None = None,
        deadline_ms: int = 10_000,
        size: TaskSize | None = None,
        agent_incarnation: str = '',
    ) -> PlaceTasks:
        """Place tasks given as payloads by name; return the message."""
        link = self.wait_for_link()
        message = PlaceTasks(
            job,
            self.incarnation,
            agent_incarnation or link.peer.incarnation,
            self.grants[-1].epoch if epoch is None else epoch,
            deadline_ms,
            tuple(
                TaskPlacement(name, 'test', payload, size or TaskSize())
                for name, payload in tasks.items()
            ),
        )
        link.send(message)
        return message

    def wait_for_link(self) -> Connection:
        """Wait until an agent is linked and has sent a grant."""
        self.wait(lambda: self.link is not None and bool(self.grants))
        link = self.link
        assert link is not None
        return link

    def wait_until_accepting(self, accepting: bool = True) -> None:
        """Wait for an offer that accepts tasks, or for one that doesn't."""
        self.wait(
            lambda: (
                bool(self.offers) and self.offers[-1].accepting is accepting
            )
        )

    def wait_for_results(self, count: int) -> list[TaskResult]:
        """Wait for `count` results, and return all that have arrived."""
        self.wait(lambda: len(self.results) >= count)
        return list(self.results)

    def wait(self, is_met: Callable[[], bool]) -> None:
        """Wait until `is_met` holds; checked after each message."""
        deadline = time.monotonic() + WAIT_S
        with self._changed:
            while not is_met():
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0:
                    raise AssertionError('the condition was not met in time')
                self._changed.wait(min(remaining_s, 0.05))

    def _serve(self, connection: Connection) -> None:
        self.link = connection
        for message in connection.messages():
            with self._changed:
                match message:
                    case UpstreamOffer():
                        self.offers.append(message)
                    case SlotGrant():
                        self.grants.append(message)
                    case TaskResults():
                        self.results.extend(message.results)
                        self._acknowledge(connection, message)
                    case _:
                        raise AssertionError(message)
                self._changed.notify_all()

    def _acknowledge(
        self, connection: Connection, message: TaskResults
    ) -> None:
        if self.acknowledges:
            acknowledged = tuple(
                (each.job, each.task) for each in message.results
            )
            connection.send(AcknowledgeResults(acknowledged))
