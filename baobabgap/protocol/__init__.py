"""What the leader shares with entries and agents: messages, roles, timing.

Apart from `dispatch`, so that entries and agents don't import the leader.
"""

from baobabgap.protocol._messages import Authority
from baobabgap.protocol._messages import AuthorityRequest
from baobabgap.protocol._messages import CallAnswer
from baobabgap.protocol._messages import CallOutcome
from baobabgap.protocol._messages import CancelPath
from baobabgap.protocol._messages import CRASHED
from baobabgap.protocol._messages import DropCall
from baobabgap.protocol._messages import EndRow
from baobabgap.protocol._messages import EndsNoted
from baobabgap.protocol._messages import EntryReport
from baobabgap.protocol._messages import EVACUATED
from baobabgap.protocol._messages import FullReport
from baobabgap.protocol._messages import JoinGroup
from baobabgap.protocol._messages import LeaderReady
from baobabgap.protocol._messages import QueueObjective
from baobabgap.protocol._messages import ReadPath
from baobabgap.protocol._messages import ReportRequest
from baobabgap.protocol._messages import RunOrder
from baobabgap.protocol._messages import RunRow
from baobabgap.protocol._messages import RunsEnded
from baobabgap.protocol._messages import RunsFound
from baobabgap.protocol._messages import RunsGone
from baobabgap.protocol._messages import StartRuns
from baobabgap.protocol._messages import StartsAnnounced
from baobabgap.protocol._messages import StartsDeferred
from baobabgap.protocol._messages import StartsExpected
from baobabgap.protocol._messages import StopRuns
from baobabgap.protocol._messages import SubmitJob
from baobabgap.protocol._messages import UpstreamChanged
from baobabgap.protocol._messages import UpstreamQuiet
from baobabgap.protocol._messages import UpstreamState
from baobabgap.protocol._messages import ZoneEvacuated
from baobabgap.protocol._options import ControlNodeOptions
from baobabgap.protocol._roles import AGENT_ROLE
from baobabgap.protocol._roles import CONTROL_ROLE
from baobabgap.protocol._roles import ENTRY_ROLE
from baobabgap.protocol._roles import JOINER_ROLE
from baobabgap.protocol._timing import boottime_clock
from baobabgap.protocol._timing import CLOCK_DRIFT
from baobabgap.protocol._timing import LeaseTiming

__all__ = [
    'AGENT_ROLE',
    'Authority',
    'AuthorityRequest',
    'boottime_clock',
    'CallAnswer',
    'CallOutcome',
    'CancelPath',
    'CLOCK_DRIFT',
    'CONTROL_ROLE',
    'ControlNodeOptions',
    'CRASHED',
    'DropCall',
    'EndRow',
    'EndsNoted',
    'ENTRY_ROLE',
    'EntryReport',
    'EVACUATED',
    'FullReport',
    'JOINER_ROLE',
    'JoinGroup',
    'LeaderReady',
    'LeaseTiming',
    'QueueObjective',
    'ReadPath',
    'ReportRequest',
    'RunOrder',
    'RunRow',
    'RunsEnded',
    'RunsFound',
    'RunsGone',
    'StartRuns',
    'StartsAnnounced',
    'StartsDeferred',
    'StartsExpected',
    'StopRuns',
    'SubmitJob',
    'UpstreamChanged',
    'UpstreamQuiet',
    'UpstreamState',
    'ZoneEvacuated',
]
