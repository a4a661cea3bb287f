"""Creates the parts of a host's log and connects them."""

from concurrent.futures import Executor
from dataclasses import dataclass

from baobabgap.replication._applier import Applier
from baobabgap.replication._election import Election
from baobabgap.replication._folder import DataFolder
from baobabgap.replication._founding import Founding
from baobabgap.replication._limits import LogLimits
from baobabgap.replication._machine import StateMachine
from baobabgap.replication._messages import VoteAnswer
from baobabgap.replication._peer import Peer
from baobabgap.replication._peers import Peers
from baobabgap.replication._reads import ReadBarriers
from baobabgap.replication._state import GroupState
from baobabgap.replication._storage import Storage
from baobabgap.replication._writer import LogWriter
from baobabgap.settings import ControlHost
from baobabgap.settings import Settings
from baobabgap.transport import LinkTiming
from baobabgap.wire import Hello


@dataclass(frozen=True, slots=True)
class LogParts:
    """The parts that one host's log consists of."""

    # The open data folder.
    storage: Storage
    # The consensus state that all tasks share.
    state: GroupState
    # Syncs entries, term and vote.
    writer: LogWriter
    # The links to the other hosts.
    peers: Peers
    # Pending linearizable reads.
    reads: ReadBarriers
    # Applies committed commands to the state machine.
    applier: Applier
    # Requests and grants votes.
    election: Election
    # Founds the group, once.
    founding: Founding

    @classmethod
    def build(
        cls,
        settings: Settings,
        incarnation: str,
        machine: StateMachine,
        pool: Executor,
        folder: DataFolder,
        limits: LogLimits,
    ) -> 'LogParts':
        """Open the data folder and create the parts."""
        own_host = _own_host(settings)
        storage = Storage.open(folder)
        state = GroupState(
            own_host,
            storage.identity,
            storage.recovered,
            settings.control.election_timeout_s,
        )
        writer = LogWriter(state, storage)

        def on_vote_answer(name: str, store: str, answer: VoteAnswer) -> None:
            election.handle_vote_answer(name, store, answer)

        def make_peer(host: ControlHost) -> Peer:
            return Peer(
                host,
                state,
                storage,
                limits,
                founding.introduce,
                on_vote_answer,
                reads.process_confirmed_rounds,
            )

        peers = Peers(
            state,
            settings.control_hosts,
            make_peer,
            _own_hello(settings, own_host, incarnation),
            LinkTiming(settings.links.heartbeat_s, settings.links.silence_s),
            pool,
        )
        reads = ReadBarriers(
            state, peers.broadcast_read_round, peers.confirmed_round_by_voter
        )
        founding = Founding(
            state, settings.control_hosts, peers, settings.control.may_found
        )
        election = Election(
            state,
            writer,
            peers.broadcast,
            peers.answering_voters,
            peers.linked_voters,
        )
        applier = Applier(state, machine, storage, writer, limits, reads, pool)
        state.run_later = pool.submit
        state.wake_peers = peers.wake
        state.on_become_leader = peers.reset_progress
        state.durable_by_voter = peers.durable_by_voter
        return cls(
            storage, state, writer, peers, reads, applier, election, founding
        )


def _own_host(settings: Settings) -> ControlHost:
    for host in settings.control_hosts:
        if host.name == settings.name:
            return host
    # This host joins a group that other hosts have founded.
    listen = settings.listen
    return ControlHost(settings.name, listen.host, listen.internal_port)


def _own_hello(
    settings: Settings, own_host: ControlHost, incarnation: str
) -> Hello:
    return Hello(
        name=settings.name,
        role='control',
        incarnation=incarnation,
        address=own_host.address,
        availability_zone=settings.place.availability_zone,
    )
