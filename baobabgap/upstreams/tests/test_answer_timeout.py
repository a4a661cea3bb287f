"""Tests how long an agent waits for the answer to an order.

Waiting too long makes the job of an unanswered start late; too short a wait
stops runs that have started.
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
        self.assertEqual(LONGEST_S, self.timeout.seconds)
        self.answer(0.002)
        self.assertEqual(LONGEST_S, self.timeout.seconds)

    def test_quick_answers_leave_time_for_a_second_start(self) -> None:
        self.answer(*[0.002, 0.004, 0.001] * 10)
        self.assertLess(self.timeout.seconds, TIME_FOR_A_SECOND_START_S)

    def test_single_lost_answers_change_nothing(self) -> None:
        self.answer(*[0.002] * 20)
        for _ in range(20):
            self.timeout.note_unanswered()
            self.answer(0.002)
        self.assertLess(self.timeout.seconds, TIME_FOR_A_SECOND_START_S)

    def test_slow_upstream_gets_more_time(self) -> None:
        self.answer(*[0.002] * 20, *[0.06, 0.08] * 10)
        self.assertEqual(LONGEST_S, self.timeout.seconds)

    def test_no_usual_answer_is_cut_off(self) -> None:
        rng = random.Random(1)
        late = 0
        for _ in range(2000):
            taken_s = rng.expovariate(1 / 0.01)
            late += taken_s > self.timeout.seconds
            self.answer(taken_s)
        self.assertLessEqual(late, 2)

    def test_silence_makes_the_wait_longest_again(self) -> None:
        self.answer(*[0.002] * 20)
        for _ in range(4):
            self.timeout.note_unanswered()
        self.assertEqual(LONGEST_S, self.timeout.seconds)


if __name__ == '__main__':
    unittest.main()
