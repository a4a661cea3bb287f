"""A leader's handlers with upstreams that don't act by themselves."""

import unittest
from unittest.mock import Mock

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import Demand
from baobabgap.accepted import RunEnd
from baobabgap.accepted import TaskId
from baobabgap.dispatch._agent_handler import AgentHandler
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._call_handler import CallHandler
from baobabgap.dispatch._evacuations import Evacuations
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._events import CallDropped
from baobabgap.dispatch._job_canceller import JobCanceller
from baobabgap.dispatch._job_closer import JobCloser
from baobabgap.dispatch._run_tracker import RunTracker
from baobabgap.dispatch._start_deferral import StartDeferral
from baobabgap.dispatch._starter import TaskStarter
from baobabgap.dispatch._takeover import Takeover
from baobabgap.dispatch._term_state import TermState
from baobabgap.dispatch._timeout_monitor import TimeoutMonitor
from baobabgap.dispatch._view_check import ViewCheck
from baobabgap.dispatch.tests.deployment import configuration
from baobabgap.dispatch.tests.deployment import CORES
from baobabgap.dispatch.tests.deployment import PREFIX
from baobabgap.dispatch.tests.deployment import QUEUE_HOST
from baobabgap.dispatch.tests.deployment import SERVICE
from baobabgap.dispatch.tests.deployment import step
from baobabgap.protocol import boottime_clock
from baobabgap.protocol import EndRow
from baobabgap.protocol import FullReport
from baobabgap.protocol import LeaseTiming
from baobabgap.protocol import RunRow
from baobabgap.protocol import RunsEnded
from baobabgap.protocol import StartRuns
from baobabgap.protocol import StopRuns
from baobabgap.protocol import SubmitJob
from baobabgap.protocol import UpstreamState
from baobabgap.queues import QueueTable
from baobabgap.telemetry import Metrics

TERM = 5
CAPACITY = Demand(1000 * CORES, 1000, 0)
STEP = step(1, 1000)
TASK = TaskId('a', 0, 0)
TIMING = LeaseTiming()


class ResubmissionCase(unittest.TestCase):
    """One upstream, `old`, is linked at first."""

    def setUp(self) -> None:
        self.term_state = TermState()
        self.term_state.queue_table = QueueTable.from_configuration(
            configuration()
        )
        takeover = Takeover(TERM, (), 0.0)
        takeover.end_if_due(0.0)
        self.term_state.begin_term(TERM, takeover)
        self.state = state = Mock(AcceptedState)
        state.state_of.return_value = None
        metrics = Metrics()
        self.runs = RunTracker(self.term_state)
        self.closer = JobCloser(
            self.term_state, self.runs, state, Mock(), Mock(), metrics
        )
        deferral = StartDeferral(self.term_state, metrics)
        self.calls = CallHandler(
            self.term_state,
            self.runs,
            self.closer,
            JobCanceller(
                self.term_state,
                self.runs,
                self.closer,
                deferral,
                state,
                Mock(),
                Mock(),
            ),
            deferral,
            state,
            Mock(),
            Mock(),
            metrics,
        )
        self.agents = AgentHandler(
            self.term_state,
            self.runs,
            self.closer,
            Mock(),
            Evacuations(self.term_state),
            ViewCheck(metrics),
            state,
            Mock(),
            TIMING,
            Mock(),
        )
        self.monitor = TimeoutMonitor(
            self.term_state, self.runs, self.agents, TIMING
        )
        self.starter = TaskStarter(
            self.term_state, self.runs, 1.0, TIMING, metrics
        )
        self.connection_by_entry: dict[str, Mock] = {}
        self.link('old')

    def link(self, name: str, *running: RunRow) -> AgentView:
        """Link an agent that reports these runs and may be sent others."""
        connection = Mock()
        connection.peer.name = name
        self.agents.handle_link(connection)
        self.report(name, *running)
        view = self.view(name)
        view.is_enrolled = True
        view.authority_granted_at = boottime_clock()
        return view

    def report(self, name: str, *running: RunRow) -> None:
        """Send an agent's full report."""
        connection = self.view(name).connection
        assert connection is not None
        upstream = UpstreamState(
            name, 1, SERVICE, 'z', (), CAPACITY, False, True
        )
        self.agents.handle(
            connection, FullReport(TERM, upstream, running, (), (), 0), True
        )

    def view(self, name: str) -> AgentView:
        return self.term_state.view_by_name[name]

    def entry(self, name: str) -> Mock:
        """Return the link of an entry."""
        if name not in self.connection_by_entry:
            self.connection_by_entry[name] = Mock()
            self.connection_by_entry[name].peer.name = name
            self.connection_by_entry[name].peer.incarnation = '1'
        return self.connection_by_entry[name]

    def submit(
        self,
        *,
        entry: str = 'e',
        call: int = 1,
        is_repeat: bool = False,
        patience_ms: int = 60_000,
    ) -> None:
        """Submit the job."""
        submitted = SubmitJob(
            call,
            QUEUE_HOST,
            f'{PREFIX}{TASK.job_id}',
            '',
            (STEP,),
            is_volatile=True,
            patience_ms=patience_ms,
            is_repeat=is_repeat,
        )
        self.calls.handle(CallArrived(submitted, self.entry(entry)))

    def drop(self, *, entry: str = 'e', call: int = 1) -> None:
        """Drop a call, as its caller has left."""
        self.calls.handle_dropped_call(CallDropped(call, self.entry(entry)))

    def end(self, view: AgentView, end: RunEnd, run: int = 1) -> None:
        """Report the end of a run of the task."""
        assert view.connection is not None
        rows = (EndRow(view.last_end_number + 1, TASK, run, end),)
        self.agents.handle(
            view.connection, RunsEnded(view.name, 1, rows), True
        )

    def start_tasks(self) -> None:
        """Start what may start."""
        self.starter.start()

    def orders(
        self, name: str, kind: type[StartRuns] | type[StopRuns]
    ) -> list[object]:
        """Return the start or stop orders to an agent."""
        connection = self.view(name).connection
        assert isinstance(connection, Mock)
        send = connection.send
        return [
            call.args[0]
            for call in send.call_args_list
            if isinstance(call.args[0], kind)
        ]

    def has_started_on(self, name: str) -> bool:
        """Return whether a start was ordered there."""
        return bool(self.orders(name, StartRuns))
