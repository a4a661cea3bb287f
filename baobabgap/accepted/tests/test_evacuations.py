"""Tests of the stored orders to evacuate availability zones.

Guards against a zone that is used again because a record of its order was
lost or came in another order.
"""

import random
import unittest

import cbor2

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import BeginEvacuation
from baobabgap.accepted import EndEvacuation
from baobabgap.accepted import ZoneState
from baobabgap.messages import encode

ZONES = ('a', 'b', 'c')


class EvacuationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.changes: list[ZoneState] = []
        self.state = self.new_state()
        self.state.on_zone_change = self.changes.append

    def new_state(self) -> AcceptedState:
        return AcceptedState(retention_ms=1000)

    def test_last_order_wins_and_repeats_change_nothing(self) -> None:
        begin_a, end_a = BeginEvacuation('a'), EndEvacuation('a')
        begin_b = BeginEvacuation('b')
        cases: list[tuple[list[object], dict[str, int], int]] = [
            ([begin_a], {'a': 1}, 1),
            ([begin_a, begin_a], {'a': 1}, 1),
            ([begin_a, end_a], {}, 2),
            ([begin_a, end_a, end_a], {}, 2),
            ([end_a], {}, 0),
            ([end_a, begin_a], {'a': 2}, 1),
            ([begin_a, end_a, begin_a], {'a': 3}, 3),
            ([begin_a, begin_b, end_a], {'b': 2}, 3),
        ]
        for commands, evacuated, changes in cases:
            with self.subTest(commands=commands):
                self.setUp()
                for index, command in enumerate(commands, 1):
                    self.state.apply(index, encode([command]))
                self.assertEqual(evacuated, self.state.evacuated_zones)
                self.assertEqual(changes, len(self.changes))

    def test_replay_and_snapshots_give_the_same_state(self) -> None:
        """A host that gets a snapshot anywhere agrees with one that didn't."""
        rng = random.Random(5)
        for _ in range(50):
            other = self.new_state()
            known: dict[str, int] = {}

            def note(change: ZoneState, known: dict[str, int] = known) -> None:
                if change.is_evacuated:
                    known[change.zone] = change.version
                else:
                    del known[change.zone]

            other.on_zone_change = note
            first = self.new_state()
            for index in range(1, 30):
                command = encode(
                    [
                        rng.choice((BeginEvacuation, EndEvacuation))(
                            rng.choice(ZONES)
                        )
                    ]
                )
                first.apply(index, command)
                if rng.random() < 0.8:
                    other.apply(index, command)
                else:
                    other.restore(index, first.snapshot())
                self.assertEqual(first.evacuated_zones, other.evacuated_zones)
                self.assertEqual(first.evacuated_zones, known)

    def test_restored_state_reports_what_differs(self) -> None:
        source = self.new_state()
        source.apply(1, encode([BeginEvacuation('b')]))
        self.state.apply(1, encode([BeginEvacuation('a')]))
        self.state.restore(7, source.snapshot())
        self.assertEqual(
            [ZoneState('a', 7, False), ZoneState('b', 1, True)],
            self.changes[1:],
        )

    def test_older_snapshot_has_no_evacuated_zone(self) -> None:
        rows = cbor2.loads(self.state.snapshot())
        del rows[0][1]['evacuated_zones']
        restored = self.new_state()
        restored.restore(1, cbor2.dumps(rows))
        self.assertEqual({}, restored.evacuated_zones)


if __name__ == '__main__':
    unittest.main()
