"""Answers to the calls that entries forward."""

from typing import Final

from baobabgap.dispatch._events import CallArrived
from baobabgap.protocol import CallAnswer
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import SubmitJob

# Retry-After of a call that found no working leader, milliseconds; about the
# duration of an election.
_NO_LEADER_RETRY_MS: Final = 1000


def call_fields(arrived: CallArrived) -> dict[str, object]:
    """Return the log fields that tell who sent a call.

    A caller that sends its job again has a call of its own, which its entry
    doesn't mark as a repetition.
    """
    call, peer = arrived.call, arrived.connection.peer
    return {
        'entry': f'{peer.name}/{peer.incarnation}',
        'call': call.call,
        'is_repeat': isinstance(call, SubmitJob) and call.is_repeat,
    }


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


def reject(
    arrived: CallArrived,
    outcome: CallOutcome,
    *,
    may_have_begun: bool,
    detail: str,
    retry_after_ms: int = 0,
) -> None:
    """Reject a submission, or answer that its outcome is unknown.

    A rejection states that nothing of the job has run or will run. A leader
    can't state that of a job that may have begun, whatever its reason.
    """
    if may_have_begun:
        answer(
            arrived,
            CallOutcome.UNKNOWN,
            detail=f'{detail}; may have begun',
            is_final=True,
        )
    else:
        answer(arrived, outcome, retry_after_ms=retry_after_ms, detail=detail)
