"""How long to wait for the answer to an order.

Answers the load of an upstream that leaves some orders unanswered: a task
whose start got no answer can't start elsewhere before the order is revoked,
so that the order is repeated, and the wait before that decides whether its
job can still be on time. The estimate and the backoff are those of TCP's
retransmission timer (RFC 6298).
"""

import threading
from typing import Final

# Bounds of a wait in seconds. The shortest is several times what a wake-up of
# either process may take, as a needless repetition costs a call; the longest
# covers an upstream or agent that is paused for a moment.
_SHORTEST_S: Final = 0.02
_LONGEST_S: Final = 0.25
# Factor from each wait to the next.
_BACKOFF_FACTOR: Final = 1.5
# Weights of a new answer time in the averages of RFC 6298.
_MEAN_WEIGHT: Final = 1 / 8
_DEVIATION_WEIGHT: Final = 1 / 4
_DEVIATIONS: Final = 4
# A wait that is cut short costs a call, so that more than usual is allowed.
_SAFETY_FACTOR: Final = 3
# Answers needed before the wait is shortened.
_LEAST_ANSWERS: Final = 8


class AnswerTimeout:
    """The waits for answers, from the times that earlier answers took.

    Safe for use from several threads. For example, with answers after about
    2 ms::

        timeout = AnswerTimeout()
        for _ in range(20):
            timeout.note_answer(0.002)
        timeout.waits_s[0]  # 0.02
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._answers = 0
        self._mean_s = 0.0
        self._deviation_s = 0.0

    @property
    def first_wait_s(self) -> float:
        """How long to wait for an answer before the order is repeated."""
        with self._lock:
            if self._answers < _LEAST_ANSWERS:
                return _LONGEST_S
            usual_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return min(max(_SAFETY_FACTOR * usual_s, _SHORTEST_S), _LONGEST_S)

    @property
    def waits_s(self) -> tuple[float, ...]:
        """How long to wait for the answer to each call of an order.

        The last wait is the longest one: an upstream that has become slow
        can answer then, and later waits follow from that.
        """
        waits_s = [self.first_wait_s]
        while sum(waits_s) < _LONGEST_S:
            waits_s.append(_BACKOFF_FACTOR * waits_s[-1])
        return (*waits_s, _LONGEST_S)

    def note_answer(self, seconds: float) -> None:
        """Record how long an answer took."""
        with self._lock:
            self._answers += 1
            if self._answers == 1:
                self._mean_s, self._deviation_s = seconds, seconds / 2
                return
            error_s = seconds - self._mean_s
            self._deviation_s += _DEVIATION_WEIGHT * (
                abs(error_s) - self._deviation_s
            )
            self._mean_s += _MEAN_WEIGHT * error_s
