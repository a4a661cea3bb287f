"""Answers to the calls that entries forward."""

from typing import Final

from baobabgap.dispatch._events import CallArrived
from baobabgap.protocol import CallAnswer
from baobabgap.protocol import CallOutcome

# Retry-After of a call that found no working leader, milliseconds; about the
# duration of an election.
_NO_LEADER_RETRY_MS: Final = 1000


def answer(
    arrived: CallArrived,
    outcome: CallOutcome,
    *,
    state: str = '',
    waiting: int = 0,
    retry_after_ms: int = 0,
    detail: str = '',
    is_final: bool = False,
) -> None:
    """Send the answer on the link that the call arrived on."""
    arrived.connection.send(
        CallAnswer(
            arrived.call.call,
            outcome,
            state,
            waiting,
            retry_after_ms,
            detail,
            is_final,
        )
    )


def answer_unavailable(arrived: CallArrived, detail: str) -> None:
    """Answer that nothing was done and when to retry."""
    answer(
        arrived,
        CallOutcome.UNAVAILABLE,
        retry_after_ms=_NO_LEADER_RETRY_MS,
        detail=detail,
    )
