"""Tests when the loss of an agent's runs counts as a crash of its host."""

from dataclasses import replace
import unittest

from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._agent_view import Run
from baobabgap.dispatch._host_losses import HostLosses
from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import FullReport
from baobabgap.protocol import UpstreamState

TASK = TaskId('a', 0, 0)
UPSTREAM = UpstreamState(
    'u', 1, 's', 'z', (), Demand(), is_draining=False, is_reachable=True
)
NEXT = replace(UPSTREAM, born_ms=2)


class HostLossesTest(unittest.TestCase):
    def find_crash(
        self,
        *,
        known: UpstreamState,
        reported: UpstreamState | None,
        agent: str,
        has_lapsed: bool,
    ) -> bool:
        losses = HostLosses()
        view = AgentView('agent', upstream=known)
        view.linked_incarnation = view.reporting_incarnation = 'first'
        view.run_by_task[TASK] = Run(TASK, 1, Demand(), 10.0, 1.0)
        view.unlinked_at = 10.5
        if has_lapsed:
            losses.note_lapsed(view)
            view = AgentView('agent')
        view.linked_incarnation = agent
        report = FullReport(1, reported, (), ())
        crash = losses.find_crash(view, report)
        self.assertIsNone(losses.find_crash(view, report))
        if crash is not None:
            self.assertEqual([500], [row.age_ms for row in crash.runs])
        return crash is not None

    def test_both_processes_must_be_others_than_before(self) -> None:
        draining = replace(UPSTREAM, is_draining=True)
        cases = [
            (UPSTREAM, NEXT, 'second', True),
            (UPSTREAM, NEXT, 'first', False),
            (UPSTREAM, UPSTREAM, 'second', False),
            (UPSTREAM, None, 'second', False),
            (draining, NEXT, 'second', False),
        ]
        for known, reported, agent, expected in cases:
            for has_lapsed in (False, True):
                with self.subTest(
                    known=known, agent=agent, has_lapsed=has_lapsed
                ):
                    found = self.find_crash(
                        known=known,
                        reported=reported,
                        agent=agent,
                        has_lapsed=has_lapsed,
                    )
                    self.assertIs(expected, found)
