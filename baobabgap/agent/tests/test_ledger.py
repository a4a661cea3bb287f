"""Tokens, running and queued tasks never exceed the slots for long."""

import unittest

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies

from baobabgap.agent._ledger import SlotLedger

_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ('place', 'late', 'lose', 'end', 'drop', 'epoch', 'slots', 'link')
        ),
        strategies.integers(0, 9),
    ),
    max_size=120,
)


class LedgerTest(unittest.TestCase):
    @seed(20261203)
    @settings(max_examples=300, deadline=None, database=None)
    @given(_STEPS)
    def test_out_never_exceeds_slots_but_for_late_arrivals(
        self, steps: list[tuple[str, int]]
    ) -> None:
        ledger = SlotLedger('agent-1')
        ledger.set_slots(4)
        ledger.set_entries(['entry-a', 'entry-b'])
        ledger.redistribute()
        # Tokens that entries hold, and tasks that arrived without one.
        held = ledger.idle_tokens
        excess = 0
        for step, number in steps:
            held, excess = _take_step(ledger, step, number, held, excess)
            out = ledger.idle_tokens + ledger.running + ledger.queued
            self.assertLessEqual(out, ledger.slots + excess)
            excess = excess if out > ledger.slots else 0
            self.assertLessEqual(held, ledger.idle_tokens)
            self.assertGreaterEqual(min(ledger.running, ledger.queued), 0)
            while ledger.queued and ledger.free_slots:
                ledger.begin()

    def test_split_is_even_and_the_remainder_rotates_by_agent(self) -> None:
        entries = ['entry-a', 'entry-b', 'entry-c']
        favoured = set()
        for number in range(30):
            ledger = SlotLedger(f'agent-{number}')
            ledger.set_slots(4)
            ledger.set_entries(entries)
            grants = ledger.redistribute()
            tokens = sorted(grant.tokens for grant in grants.values())
            self.assertEqual([1, 1, 2], tokens)
            favoured.add(max(entries, key=lambda e: grants[e].tokens))
        self.assertEqual(set(entries), favoured)

    def test_busy_slots_bring_a_token_of_the_new_epoch(self) -> None:
        ledger = SlotLedger('agent-1')
        ledger.set_slots(1)
        ledger.set_entries(['entry-a'])
        ledger.redistribute()
        ledger.receive(1)
        ledger.begin()
        self.assertEqual(0, ledger.redistribute()['entry-a'].tokens)
        ledger.end_running()
        self.assertTrue(ledger.give_back_token())
        self.assertFalse(ledger.give_back_token())

    def test_idle_slots_over_the_window_raise_suspicion(self) -> None:
        ledger = SlotLedger('agent-1')
        ledger.set_slots(2)
        ledger.set_entries(['entry-a'])
        ledger.redistribute()
        ledger.suspects_leak(100.0)
        self.assertFalse(ledger.suspects_leak(104.9))
        self.assertTrue(ledger.suspects_leak(105.1))
        ledger.receive(1)
        ledger.receive(1)
        ledger.begin()
        ledger.begin()
        ledger.end_running()
        ledger.end_running()
        self.assertFalse(ledger.suspects_leak(110.2))


def _take_step(
    ledger: SlotLedger, step: str, number: int, held: int, excess: int
) -> tuple[int, int]:
    """Do one thing that may happen; return the new counts of the model."""
    match step:
        case 'place' if held:
            ledger.receive(ledger.epoch)
            return held - 1, excess
        case 'late':
            ledger.receive(ledger.epoch - 1)
            return held, excess + 1
        case 'lose' if held:
            return held - 1, excess
        case 'end' if ledger.running:
            ledger.end_running()
            return held + ledger.give_back_token(), excess
        case 'drop' if ledger.queued:
            ledger.end_queued()
            return held + ledger.give_back_token(), excess
        case 'epoch':
            ledger.redistribute()
            return ledger.idle_tokens, excess
        case 'slots':
            before = ledger.slots
            ledger.set_slots(number)
            ledger.redistribute()
            return ledger.idle_tokens, excess + max(0, before - number)
        case 'link':
            ledger.set_entries([f'entry-{n}' for n in range(number % 4)])
            ledger.redistribute()
            return ledger.idle_tokens, excess
        case _:
            return held, excess
