"""The links to the agents, and the results to acknowledge on them."""

from baobabgap.messages import AcknowledgeResults
from baobabgap.transport import Connection
from baobabgap.transport import NewestLinks

_TaskKey = tuple[str, str]


class AgentLinks:
    """The current link to each agent.

    The caller holds the dispatcher's lock.
    """

    def __init__(self) -> None:
        self._links: NewestLinks[Connection] = NewestLinks()
        self._unacknowledged_by_agent: dict[str, list[_TaskKey]] = {}

    def add(self, link: Connection) -> None:
        """Register a link, replacing an earlier one to the agent.

        Raises `ProtocolMismatch` if a later process of it is linked.
        """
        self._links.open(link)

    def remove(self, link: Connection) -> bool:
        """Remove a link; False if a newer one has replaced it."""
        if not self._links.remove(link):
            return False
        self._unacknowledged_by_agent.pop(link.peer.name, None)
        return True

    def is_current(self, link: Connection) -> bool:
        """Return whether this is the current link to its agent."""
        return self._links.is_current(link)

    def send(self, agent: str, message: object) -> None:
        """Send a message to an agent; dropped if there is no link to it."""
        link = self._links.find(agent)
        if link is not None:
            link.send(message)

    def record_result(self, agent: str, job: str, task: str) -> None:
        """Record a result that is to be acknowledged."""
        results = self._unacknowledged_by_agent.setdefault(agent, [])
        results.append((job, task))

    def acknowledge(self, agent: str) -> None:
        """Acknowledge an agent's results now."""
        results = self._unacknowledged_by_agent.pop(agent, [])
        if results:
            self.send(agent, AcknowledgeResults(tuple(results)))

    def acknowledge_all(self) -> None:
        """Acknowledge the results of all agents."""
        for agent in list(self._unacknowledged_by_agent):
            self.acknowledge(agent)
