"""An agent's scheduler linked to the dispatcher of an entry."""

from typing import Any
from typing import cast

from baobabgap.agent._batch_log import BatchLog
from baobabgap.agent._scheduler import TaskScheduler
from baobabgap.agent._task_registry import TaskRecord
from baobabgap.entry._dispatcher import Dispatcher
from baobabgap.entry.tests.fakes import CAPACITY
from baobabgap.messages import AcknowledgeResults
from baobabgap.messages import CancelJobs
from baobabgap.messages import Hello
from baobabgap.messages import PlaceTasks
from baobabgap.messages import ResumeTasks
from baobabgap.messages import SlotGrant
from baobabgap.messages import TaskResults
from baobabgap.messages import UpstreamOffer
from baobabgap.telemetry import Metrics
from baobabgap.transport import Connection

_ENTRY = Hello('entry-1', 'entry', 'own')


class LinkEnd:
    """One end of a link; what is sent waits until it is delivered."""

    def __init__(self, peer: Hello) -> None:
        self.peer = peer
        self.sent: list[Any] = []

    def send(self, *messages: object) -> None:
        """Queue messages for the other end."""
        self.sent.extend(messages)

    def close(self) -> None:
        """Close the link, which changes nothing here."""

    def pop(self) -> list[Any]:
        """Return what was sent, and forget it."""
        sent, self.sent = self.sent, []
        return sent

    @property
    def connection(self) -> Connection:
        """This end, typed as the entry expects it."""
        return cast(Connection, self)


class LinkedAgent:
    """An agent whose messages to and from an entry the test delivers."""

    def __init__(
        self, name: str, dispatcher: Dispatcher, *, slots: int = 1
    ) -> None:
        self.started: list[TaskRecord] = []
        self._hello = Hello(name, 'agent', f'{name}-1', '', 'z')
        self._dispatcher = dispatcher
        self._slots = slots
        self.scheduler = TaskScheduler(
            name,
            self._hello.incarnation,
            Metrics(),
            BatchLog(name),
            self.started.append,
            lambda leases: None,
        )
        self.accept(True)
        self.link()

    def accept(self, accepting: bool) -> None:
        """Change whether the upstream takes tasks."""
        reason = '' if accepting else 'not accepting'
        self.scheduler.set_offer(
            UpstreamOffer('u', self._slots, CAPACITY, accepting, reason)
        )

    def link(self) -> None:
        """Open a new link; what waits on the earlier one is lost."""
        self.at_agent = LinkEnd(_ENTRY)
        self.at_entry = LinkEnd(self._hello)
        self.scheduler.open_link(self.at_agent)
        self._dispatcher.agent_up(self.at_entry.connection)

    def break_link(self) -> None:
        """Lose the link, with what waits on it."""
        self.scheduler.remove_link(self.at_agent)
        self._dispatcher.agent_down(self.at_entry.connection)

    def deliver_to_agent(self) -> None:
        """Deliver what the entry has sent."""
        for message in self.at_entry.pop():
            match message:
                case PlaceTasks():
                    self.scheduler.place(self.at_agent, message)
                case AcknowledgeResults():
                    self.scheduler.acknowledge(self.at_agent, message)
                case CancelJobs():
                    self.scheduler.cancel(self.at_agent, message)
                case ResumeTasks():
                    self.scheduler.resume(self.at_agent, message)

    def deliver_to_entry(self) -> None:
        """Deliver what the agent has sent."""
        self.deliver(self.at_entry, self.at_agent.pop())

    def deliver(self, at_entry: LinkEnd, messages: list[Any]) -> None:
        """Deliver messages to the entry on a link of this agent."""
        link = at_entry.connection
        for message in messages:
            match message:
                case TaskResults():
                    self._dispatcher.handle_results(link, message)
                case UpstreamOffer():
                    self._dispatcher.handle_offer(link, message)
                case SlotGrant():
                    self._dispatcher.handle_grant(link, message)
