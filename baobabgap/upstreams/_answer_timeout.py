"""How long to wait for the answer to an order.

Answers the load of an upstream that leaves some orders unanswered: a task
whose start got no answer can't start elsewhere before the order is revoked,
so that the wait for the answer decides whether its job can still be on time.
The estimate is that of TCP's retransmission timer (RFC 6298).
"""

import threading
from typing import Final

# Bounds of the wait in seconds. The shortest leaves a job with a latency
# allowance of 60 ms time for a second start; the longest covers an upstream
# or agent that is paused for a moment.
_SHORTEST_S: Final = 0.08
_LONGEST_S: Final = 0.25
# Weights of a new answer time in the averages of RFC 6298.
_MEAN_WEIGHT: Final = 1 / 8
_DEVIATION_WEIGHT: Final = 1 / 4
_DEVIATIONS: Final = 4
# A wait that is cut short costs a run, so that more than usual is allowed.
_SAFETY_FACTOR: Final = 3
# Answers needed before the wait is shortened, and orders without an answer
# in a row after which it is the longest again.
_LEAST_ANSWERS: Final = 8
_UNANSWERED_TO_RESET: Final = 4


class AnswerTimeout:
    """The wait for answers, from the times that earlier answers took.

    Safe for use from several threads. For example, with answers after about
    2 ms::

        timeout = AnswerTimeout()
        for _ in range(20):
            timeout.note_answer(0.002)
        timeout.seconds  # 0.08
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._answers = 0
        self._unanswered_in_row = 0
        self._mean_s = 0.0
        self._deviation_s = 0.0

    @property
    def seconds(self) -> float:
        """How long to wait for the next answer."""
        with self._lock:
            if self._answers < _LEAST_ANSWERS:
                return _LONGEST_S
            usual_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return min(max(_SAFETY_FACTOR * usual_s, _SHORTEST_S), _LONGEST_S)

    def note_answer(self, seconds: float) -> None:
        """Record how long an answer took."""
        with self._lock:
            self._answers += 1
            self._unanswered_in_row = 0
            if self._answers == 1:
                self._mean_s, self._deviation_s = seconds, seconds / 2
                return
            error_s = seconds - self._mean_s
            self._deviation_s += _DEVIATION_WEIGHT * (
                abs(error_s) - self._deviation_s
            )
            self._mean_s += _MEAN_WEIGHT * error_s

    def note_unanswered(self) -> None:
        """Record that an order got no answer within the wait.

        After several in a row the upstream or this process is slow rather
        than losing single orders, and the wait is the longest again.
        """
        with self._lock:
            self._unanswered_in_row += 1
            if self._unanswered_in_row >= _UNANSWERED_TO_RESET:
                self._answers = 0
