"""Typed messages of the standalone processes, with those of every link.

Importing this package registers every message with the codec.
"""

from baobabgap.messages._agent import AcknowledgeResults
from baobabgap.messages._agent import CancelJobs
from baobabgap.messages._agent import PlaceTasks
from baobabgap.messages._agent import ResumeTasks
from baobabgap.messages._agent import SlotGrant
from baobabgap.messages._agent import TaskOutcome
from baobabgap.messages._agent import TaskPlacement
from baobabgap.messages._agent import TaskResult
from baobabgap.messages._agent import TaskResults
from baobabgap.messages._agent import UpstreamLoad
from baobabgap.messages._agent import UpstreamOffer
from baobabgap.messages._control import Changes
from baobabgap.messages._control import Claim
from baobabgap.messages._control import ClaimJobs
from baobabgap.messages._control import ClaimOutcome
from baobabgap.messages._control import ClaimOutcomes
from baobabgap.messages._control import ClaimStatus
from baobabgap.messages._control import ConfigurationEntry
from baobabgap.messages._control import ControlPage
from baobabgap.messages._control import ControlUnavailable
from baobabgap.messages._control import Leave
from baobabgap.messages._control import MemberRecord
from baobabgap.messages._control import MemberReport
from baobabgap.messages._control import PutTicket
from baobabgap.messages._control import QueryControl
from baobabgap.messages._control import ReleaseClaims
from baobabgap.messages._control import Subscribe
from baobabgap.messages._control import Superseded
from baobabgap.messages._control import TicketOutcome
from baobabgap.messages._control import TicketStatus
from baobabgap.messages._entry import CancelOwnedJob
from baobabgap.messages._entry import EntryState
from baobabgap.messages._entry import JoinedAnswer
from baobabgap.messages._entry import JoinJob
from baobabgap.messages._entry import QuotaDemand
from baobabgap.messages._entry import TeamDemand
from baobabgap.messages._entry import TokenTransfer
from baobabgap.messages._relay import RelayCommand
from baobabgap.messages._relay import RelayReports
from baobabgap.messages._relay import RelayResult
from baobabgap.wire import decode
from baobabgap.wire import encode
from baobabgap.wire import Heartbeat
from baobabgap.wire import Hello
from baobabgap.wire import LeaderHint
from baobabgap.wire import MAXIMUM_FRAME_BYTES
from baobabgap.wire import PROTOCOL_VERSION
from baobabgap.wire import register

register(
    AcknowledgeResults,
    CancelJobs,
    CancelOwnedJob,
    Changes,
    Claim,
    ClaimJobs,
    ClaimOutcome,
    ClaimOutcomes,
    ConfigurationEntry,
    ControlPage,
    ControlUnavailable,
    EntryState,
    JoinJob,
    JoinedAnswer,
    Leave,
    MemberRecord,
    MemberReport,
    PlaceTasks,
    PutTicket,
    QueryControl,
    QuotaDemand,
    RelayCommand,
    RelayReports,
    RelayResult,
    ReleaseClaims,
    ResumeTasks,
    SlotGrant,
    Subscribe,
    Superseded,
    TaskPlacement,
    TaskResult,
    TaskResults,
    TeamDemand,
    TicketOutcome,
    TokenTransfer,
    UpstreamLoad,
    UpstreamOffer,
)

__all__ = [
    'AcknowledgeResults',
    'CancelJobs',
    'CancelOwnedJob',
    'Changes',
    'Claim',
    'ClaimJobs',
    'ClaimOutcome',
    'ClaimOutcomes',
    'ClaimStatus',
    'ConfigurationEntry',
    'ControlPage',
    'ControlUnavailable',
    'decode',
    'encode',
    'EntryState',
    'Heartbeat',
    'Hello',
    'JoinedAnswer',
    'JoinJob',
    'LeaderHint',
    'Leave',
    'MAXIMUM_FRAME_BYTES',
    'MemberRecord',
    'MemberReport',
    'PlaceTasks',
    'PROTOCOL_VERSION',
    'PutTicket',
    'QueryControl',
    'QuotaDemand',
    'register',
    'RelayCommand',
    'RelayReports',
    'RelayResult',
    'ReleaseClaims',
    'ResumeTasks',
    'SlotGrant',
    'Subscribe',
    'Superseded',
    'TaskOutcome',
    'TaskPlacement',
    'TaskResult',
    'TaskResults',
    'TeamDemand',
    'TicketOutcome',
    'TicketStatus',
    'TokenTransfer',
    'UpstreamLoad',
    'UpstreamOffer',
]
