"""Message loops of the links to agents and to peer entries."""

from concurrent.futures import Future
import time

from baobabgap._exceptions import ProtocolMismatch
from baobabgap.entry._dispatcher import Dispatcher
from baobabgap.entry._joins import Joins
from baobabgap.entry._quota_ledger import QuotaLedger
from baobabgap.entry._submissions import Submissions
from baobabgap.jobs import JobAnswer
from baobabgap.messages import CancelOwnedJob
from baobabgap.messages import EntryState
from baobabgap.messages import JoinedAnswer
from baobabgap.messages import JoinJob
from baobabgap.messages import QuotaDemand
from baobabgap.messages import SlotGrant
from baobabgap.messages import TaskResults
from baobabgap.messages import TokenTransfer
from baobabgap.messages import UpstreamLoad
from baobabgap.messages import UpstreamOffer
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection


def serve_agent(link: Connection, dispatcher: Dispatcher) -> None:
    """Handle the messages of one agent until its link is lost."""
    agent = link.peer.name
    log_event('agent_up', agent=agent, incarnation=link.peer.incarnation)
    dispatcher.agent_up(link)
    try:
        for message in link.messages():
            _handle_agent_message(link, message, dispatcher)
    finally:
        dispatcher.agent_down(link)
        log_event('agent_down', agent=agent)


def _handle_agent_message(
    link: Connection, message: object, dispatcher: Dispatcher
) -> None:
    match message:
        case TaskResults():
            dispatcher.handle_results(link, message)
        case UpstreamOffer():
            dispatcher.handle_offer(link, message)
        case SlotGrant():
            dispatcher.handle_grant(link, message)
        case UpstreamLoad():
            dispatcher.handle_load(link, message)
        case _:
            raise _unexpected(link, message)


class PeerSessions:
    """Serves the links to the other entries."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        submissions: Submissions,
        joins: Joins,
        quotas: QuotaLedger,
    ) -> None:
        self._dispatcher = dispatcher
        self._submissions = submissions
        self._joins = joins
        self._quotas = quotas

    def serve(self, link: Connection) -> None:
        """Handle the messages of one peer entry until its link is lost."""
        peer = link.peer.name
        log_event('peer_up', peer=peer, incarnation=link.peer.incarnation)
        with self._dispatcher.lock:
            self._dispatcher.balancer.add_peer(link)
            self._quotas.reset_reports()
        self._dispatcher.state_changed.set()
        self._joins.link_up(link)
        try:
            for message in link.messages():
                self._handle_message(link, message)
        finally:
            self._handle_disconnect(link)

    def _handle_disconnect(self, link: Connection) -> None:
        with self._dispatcher.lock:
            if self._dispatcher.balancer.remove_peer(link):
                self._quotas.forget(link.peer.name)
        self._joins.link_down(link, time.monotonic())
        log_event('peer_down', peer=link.peer.name)

    def _handle_message(self, link: Connection, message: object) -> None:
        match message:
            case EntryState():
                self._dispatcher.handle_peer_state(link, message)
            case TokenTransfer():
                self._dispatcher.handle_transfer(message)
            case QuotaDemand():
                with self._dispatcher.lock:
                    self._quotas.set_peer_demand(link.peer.name, message)
            case JoinJob():
                self._answer_join(link, message)
            case JoinedAnswer():
                self._joins.answer(message)
            case CancelOwnedJob(job):
                self._submissions.cancel_owned(job)
            case _:
                raise _unexpected(link, message)

    def _answer_join(self, link: Connection, message: JoinJob) -> None:
        future = self._submissions.find_owned(message.job, message.digest)
        if future is None:
            link.send(JoinedAnswer(message.request, None))
            return

        def send(done: Future[JobAnswer]) -> None:
            link.send(JoinedAnswer(message.request, done.result()))

        future.add_done_callback(send)


def _unexpected(link: Connection, message: object) -> ProtocolMismatch:
    return ProtocolMismatch(
        f'unexpected {type(message).__name__} from a {link.peer.role}',
        step='serve',
        peer=link.peer.name,
    )
