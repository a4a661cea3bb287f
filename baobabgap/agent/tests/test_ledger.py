"""Tests of the slot accounting.

They guard against tokens and tasks that exceed the slots for long, and
against slots that stay idle because their tokens were lost.
"""

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
    def test_only_late_arrivals_exceed_the_slots(
        self, steps: list[tuple[str, int]]
    ) -> None:
        ledger = SlotLedger('agent-1')
        ledger.set_slots(4)
        ledger.set_entries(['entry-a', 'entry-b'])
        ledger.redistribute()
        # Tokens that entries hold, and tasks that arrived with a void token.
        held = ledger.idle_tokens
        excess = 0
        for step, number in steps:
            held, excess = _apply_step(ledger, step, number, held, excess)
            committed = ledger.idle_tokens + ledger.running + ledger.queued
            self.assertLessEqual(committed, ledger.slots + excess)
            excess = excess if committed > ledger.slots else 0
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

    def test_slot_freed_in_a_new_epoch_returns_one_token(self) -> None:
        ledger = SlotLedger('agent-1')
        ledger.set_slots(1)
        ledger.set_entries(['entry-a'])
        ledger.redistribute()
        ledger.receive(1)
        ledger.begin()
        self.assertEqual(0, ledger.redistribute()['entry-a'].tokens)
        ledger.end_running()
        self.assertTrue(ledger.return_token())
        self.assertFalse(ledger.return_token())

    def test_slots_idle_for_a_window_count_as_suspected_leak(self) -> None:
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


def _apply_step(
    ledger: SlotLedger, step: str, number: int, held: int, excess: int
) -> tuple[int, int]:
    """Apply one step; return the new `held` and `excess` of the model."""
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
            return held + ledger.return_token(), excess
        case 'drop' if ledger.queued:
            ledger.end_queued()
            return held + ledger.return_token(), excess
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
