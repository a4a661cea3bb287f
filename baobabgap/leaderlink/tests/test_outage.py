"""How long calls wait for a leader."""

import unittest

from baobabgap.accepted import Demand
from baobabgap.accepted import Step
from baobabgap.leaderlink._outage import expected_run_s
from baobabgap.leaderlink._outage import find_objective
from baobabgap.leaderlink._outage import Outage
from baobabgap.leaderlink._outage import UsualOutage
from baobabgap.leaderlink._outage import WaitingCall
from baobabgap.protocol import QueueObjective

# The leader was lost at 100; the next one is expected at 100.5.
OUTAGE = Outage(100.0, 0.5)


class OutageTest(unittest.TestCase):
    def test_until_when_calls_wait(self) -> None:
        """Each row: a call, and how long it waits after the loss."""
        cases = {
            'of unknown use': (WaitingCall(100.0, 109.0, 4.0), 1.2),
            'arrived later': (WaitingCall(100.9, 109.0, 4.0), 1.2),
            'with a short wait': (WaitingCall(100.1, 101.6, 0.6), 0.7),
            'arrived long before': (WaitingCall(97.0, 109.0, 4.0), 1.2),
            'caller leaves': (WaitingCall(100.0, 100.3, 4.0), 0.3),
            'useful after the next leader': (
                WaitingCall(100.0, 109.0, 4.0, 101.0, 0.2),
                0.8,
            ),
            'not useful after the next leader': (
                WaitingCall(100.0, 109.0, 4.0, 100.6, 0.2),
                0.0,
            ),
            'begun': (
                WaitingCall(98.0, 109.0, 4.0, begun_at=100.0),
                5.0,
            ),
            'begun, of little use': (
                WaitingCall(99.0, 109.0, 4.0, 100.6, 0.2, begun_at=100.0),
                0.6,
            ),
        }
        for case, (call, waits_s) in cases.items():
            with self.subTest(case):
                ends_at = OUTAGE.since + waits_s
                before = OUTAGE.reason_to_give_up(call, ends_at - 0.01)
                if waits_s:
                    self.assertEqual('', before)
                self.assertNotEqual(
                    '', OUTAGE.reason_to_give_up(call, ends_at + 0.01)
                )

    def test_caller_is_told_when_the_next_leader_is_expected(self) -> None:
        self.assertEqual(400, OUTAGE.retry_after_ms(100.1))
        self.assertEqual(0, OUTAGE.retry_after_ms(101.0))

    def test_usual_outage_is_learned(self) -> None:
        usual = UsualOutage()
        for _ in range(20):
            usual.note(0.3)
        self.assertAlmostEqual(0.3, usual.usual_s, 2)
        usual.note(60.0)
        self.assertLess(usual.usual_s, 0.6)


class ObjectiveTest(unittest.TestCase):
    def test_longest_prefix_wins(self) -> None:
        short = QueueObjective('desk.example', '/', 3.0, 30.0)
        long = QueueObjective('desk.example', '/entries/', 6.0, 60.0)
        cases = [
            ('desk.example', '/entries/1', long),
            ('Desk.Example:80', '/entries/1', long),
            ('desk.example', '/other/1', short),
            ('other.example', '/entries/1', None),
        ]
        for host, path, expected in cases:
            with self.subTest(host=host, path=path):
                self.assertEqual(
                    expected, find_objective((short, long), host, path)
                )

    def test_expected_duration_is_that_of_the_longest_chain(self) -> None:
        demand = Demand(1000, 10, 0)
        steps = (
            Step(1, demand, 100),
            Step(2, demand, 300, after=(0,)),
            Step(1, demand, 350),
            Step(1, demand, 50, after=(0, 7)),
        )
        self.assertAlmostEqual(0.4, expected_run_s(steps))
        self.assertEqual(0.0, expected_run_s(()))


if __name__ == '__main__':
    unittest.main()
