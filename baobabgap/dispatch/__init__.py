"""Dispatch of accepted jobs by the leader of the control group."""

from baobabgap.dispatch._control_node import ControlNode
from baobabgap.dispatch._control_node import ControlNodeOptions
from baobabgap.dispatch._messages import Authority
from baobabgap.dispatch._messages import AuthorityRequest
from baobabgap.dispatch._messages import CallAnswer
from baobabgap.dispatch._messages import CallOutcome
from baobabgap.dispatch._messages import CancelPath
from baobabgap.dispatch._messages import DropCall
from baobabgap.dispatch._messages import EndRow
from baobabgap.dispatch._messages import EndsNoted
from baobabgap.dispatch._messages import EntryReport
from baobabgap.dispatch._messages import FullReport
from baobabgap.dispatch._messages import LeaderReady
from baobabgap.dispatch._messages import ReadPath
from baobabgap.dispatch._messages import RunOrder
from baobabgap.dispatch._messages import RunRow
from baobabgap.dispatch._messages import RunsEnded
from baobabgap.dispatch._messages import RunsFound
from baobabgap.dispatch._messages import RunsGone
from baobabgap.dispatch._messages import StartRuns
from baobabgap.dispatch._messages import StopRuns
from baobabgap.dispatch._messages import SubmitJob
from baobabgap.dispatch._messages import UpstreamChanged
from baobabgap.dispatch._messages import UpstreamQuiet
from baobabgap.dispatch._messages import UpstreamState
from baobabgap.dispatch._roles import AGENT_ROLE
from baobabgap.dispatch._roles import ENTRY_ROLE
from baobabgap.dispatch._roles import JOINER_ROLE
from baobabgap.dispatch._timing import boottime_clock
from baobabgap.dispatch._timing import CLOCK_DRIFT
from baobabgap.dispatch._timing import LeaseTiming

__all__ = [
    'AGENT_ROLE',
    'Authority',
    'AuthorityRequest',
    'boottime_clock',
    'CallAnswer',
    'CallOutcome',
    'CancelPath',
    'CLOCK_DRIFT',
    'ControlNode',
    'ControlNodeOptions',
    'DropCall',
    'EndRow',
    'EndsNoted',
    'ENTRY_ROLE',
    'EntryReport',
    'FullReport',
    'JOINER_ROLE',
    'LeaderReady',
    'LeaseTiming',
    'ReadPath',
    'RunOrder',
    'RunRow',
    'RunsEnded',
    'RunsFound',
    'RunsGone',
    'StartRuns',
    'StopRuns',
    'SubmitJob',
    'UpstreamChanged',
    'UpstreamQuiet',
    'UpstreamState',
]
