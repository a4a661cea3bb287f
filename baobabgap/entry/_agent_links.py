"""The links to the agents, and the results that are to be acknowledged."""

from baobabgap.messages import AcknowledgeResults
from baobabgap.transport import Connection

_TaskKey = tuple[str, str]


class AgentLinks:
    """The present link to each agent.

    The caller holds the dispatcher's lock.
    """

    def __init__(self) -> None:
        self._link_by_agent: dict[str, Connection] = {}
        self._unacknowledged_by_agent: dict[str, list[_TaskKey]] = {}

    def add(self, link: Connection) -> None:
        """Use a new link; it replaces an earlier one to the agent."""
        self._link_by_agent[link.peer.name] = link

    def remove(self, link: Connection) -> bool:
        """Give up a link; False if a newer one has replaced it."""
        if not self.is_current(link):
            return False
        del self._link_by_agent[link.peer.name]
        self._unacknowledged_by_agent.pop(link.peer.name, None)
        return True

    def is_current(self, link: Connection) -> bool:
        """Tell whether this is the link that is in use."""
        return self._link_by_agent.get(link.peer.name) is link

    def send(self, agent: str, message: object) -> None:
        """Send to an agent; dropped while there is no link to it."""
        link = self._link_by_agent.get(agent)
        if link is not None:
            link.send(message)

    def note_result(self, agent: str, job: str, task: str) -> None:
        """Remember to acknowledge a result."""
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
