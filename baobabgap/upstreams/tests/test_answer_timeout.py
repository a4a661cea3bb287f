"""Tests how long an agent waits for the answer to an order.

Waiting too long makes the job of an unanswered start late; too short a wait
repeats calls that are being answered, and stops runs that have started.
"""

import random
import unittest

from baobabgap.upstreams import AnswerTimeout

LONGEST_S = 0.25
# A task of 100 ms in a job with a stretch of 1.6 and an allowance of 60 ms
# is on time if its second start comes within 120 ms.
TIME_FOR_A_SECOND_START_S = 0.12


class AnswerTimeoutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timeout = AnswerTimeout()

    def answer(self, *seconds: float) -> None:
        for value in seconds:
            self.timeout.note_answer(value)

    def test_longest_until_answers_are_known(self) -> None:
        self.assertEqual(LONGEST_S, self.timeout.first_wait_s)
        self.answer(0.002)
        self.assertEqual(LONGEST_S, self.timeout.first_wait_s)

    def test_quick_answers_leave_time_for_a_second_start(self) -> None:
        self.answer(*[0.002, 0.004, 0.001] * 10)
        self.assertLess(self.timeout.first_wait_s, TIME_FOR_A_SECOND_START_S)

    def test_quick_answers_leave_time_for_a_fourth_call(self) -> None:
        self.answer(*[0.002, 0.004, 0.001] * 10)
        self.assertLess(
            sum(self.timeout.waits_s[:3]), TIME_FOR_A_SECOND_START_S
        )

    def test_slow_upstream_gets_more_time(self) -> None:
        self.answer(*[0.002] * 20, *[0.06, 0.08] * 10)
        self.assertEqual(LONGEST_S, self.timeout.first_wait_s)

    def test_no_usual_answer_is_cut_off(self) -> None:
        rng = random.Random(1)
        late = 0
        for _ in range(2000):
            taken_s = rng.expovariate(1 / 0.01)
            late += taken_s > self.timeout.first_wait_s
            self.answer(taken_s)
        self.assertLessEqual(late, 2)

    def test_waits_grow_and_the_last_is_the_longest(self) -> None:
        """An upstream that becomes slow could never answer in time."""
        for seconds in (0.002, 0.01, 0.2):
            self.answer(*[seconds] * 20)
            waits_s = self.timeout.waits_s
            self.assertEqual(sorted(waits_s), list(waits_s))
            self.assertEqual(LONGEST_S, waits_s[-1])

    def test_upstream_that_becomes_slow_is_waited_for_in_the_end(self) -> None:
        self.answer(*[0.002] * 20)
        for _ in range(40):
            self.assertGreater(self.timeout.waits_s[-1], 0.15)
            self.answer(0.15)
        self.assertGreater(self.timeout.first_wait_s, 0.15)


if __name__ == '__main__':
    unittest.main()
