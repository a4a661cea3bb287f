"""Submitting one job until its end is known or its time is over.

A job is resubmitted with the same identifier, also through another
entry. That is safe: the system starts its tasks at most once, and a
resubmission joins the running job or gets the kept answer.
"""

from dataclasses import dataclass
from enum import StrEnum
import time
from typing import Any
from typing import Final

from baobabgap._exceptions import ConnectionLost
from baobabgap.tool._client import document_of
from baobabgap.tool._client import EntryClient
from baobabgap.tool._exit import ExitCode
from baobabgap.web import RequestNeverSent
from baobabgap.web import WebResponse

_MOST_ATTEMPTS: Final = 30
_PAUSE_AFTER_LOSS_S: Final = 0.2
# What an entry may take beyond the deadline to answer, and the way back.
_ANSWER_GRACE_S: Final = 3.0
_POLL_WAIT_MS: Final = 2000


class JobState(StrEnum):
    """What the client knows of a job in the end."""

    WHOLE = 'whole'
    REFUSED = 'refused'
    FAILED = 'failed'
    PENDING = 'pending'
    # A request was lost on the way, and no entry could tell its end.
    UNKNOWN = 'unknown'
    # No request got through to any entry, so nothing ran.
    UNREACHABLE = 'unreachable'


EXIT_CODE_BY_STATE: Final = {
    JobState.WHOLE: ExitCode.DONE,
    JobState.REFUSED: ExitCode.REFUSED,
    JobState.FAILED: ExitCode.FAILED,
    JobState.PENDING: ExitCode.PENDING,
    JobState.UNKNOWN: ExitCode.UNREACHABLE,
    JobState.UNREACHABLE: ExitCode.UNREACHABLE,
}

_ENDED: Final = (JobState.WHOLE, JobState.FAILED)


@dataclass(frozen=True, slots=True)
class JobReport:
    """How one job went, as its client saw it."""

    # The job's identifier.
    identifier: str
    # What is known of its end.
    state: JobState
    # The last document from an entry, or one that tells what was lost.
    document: dict[str, Any]
    # How many times it was sent.
    attempts: int
    # Milliseconds from the first sending to the end.
    took_ms: float

    @classmethod
    def from_document(
        cls, document: dict[str, Any], attempts: int, took_ms: float
    ) -> 'JobReport':
        """Read an entry's document; an odd state counts as unknown."""
        try:
            state = JobState(document.get('state', ''))
        except ValueError:
            state = JobState.UNKNOWN
        identifier = str(document.get('identifier', ''))
        return cls(identifier, state, document, attempts, took_ms)

    @property
    def exit_code(self) -> ExitCode:
        """The exit code that this job alone would give."""
        return EXIT_CODE_BY_STATE[self.state]


class Submitting:
    """One job on its way through the entries."""

    def __init__(self, client: EntryClient, document: dict[str, Any]) -> None:
        self._client = client
        self._job = document
        self._identifier = str(document['identifier'])
        self._started_s = time.monotonic()
        self._deadline_s = (
            self._started_s + int(document['deadline_ms']) / 1000
        )
        self._attempts = 0
        self._draining = 0
        # Set once a request was lost that an entry may have taken.
        self._may_run = False
        self._last: dict[str, Any] = {}

    def run(self) -> JobReport:
        """Submit until the end is known; never raises for a lost entry."""
        while self._attempts < _MOST_ATTEMPTS and self._left_s() > 0:
            self._attempts += 1
            report = self._attempt()
            if report is None:
                continue
            if report.state is JobState.REFUSED and self._may_run:
                # This request ran nothing; the lost one may have.
                return self._look_up()
            return report
        if self._may_run:
            return self._look_up()
        return self._report(self._last)

    def _attempt(self) -> JobReport | None:
        """Send the job once; return None if it is worth sending again."""
        job = {**self._job, 'deadline_ms': max(1, int(self._left_s() * 1000))}
        timeout_s = self._left_s() + _ANSWER_GRACE_S
        try:
            response = self._client.send(
                'POST', '/v1/jobs', job, timeout_s=timeout_s
            )
            document = document_of(response)
        except ConnectionLost as error:
            self._note_loss(error)
            self._client.use_next_entry()
            self._pause(_PAUSE_AFTER_LOSS_S)
            return None
        self._last = document
        report = self._report(document)
        if report.state is JobState.PENDING:
            return self._look_up()
        if report.state is not JobState.WHOLE and self._can_wait(response):
            # Only a refusal is sure that nothing runs.
            self._may_run |= report.state is not JobState.REFUSED
            self._client.use_next_entry()
            self._pause(self._pause_after(response, document))
            return None
        return report

    def _look_up(self) -> JobReport:
        """Ask each entry for the job's end, until the time is over."""
        end_s = self._deadline_s + _ANSWER_GRACE_S
        for _ in range(_MOST_ATTEMPTS):
            report = self._fetch()
            if report is not None and report.state in _ENDED:
                return report
            self._client.use_next_entry()
            if time.monotonic() >= end_s:
                break
            self._pause(_PAUSE_AFTER_LOSS_S)
        return self._report(
            {
                'identifier': self._identifier,
                'state': JobState.UNKNOWN.value,
                'error': {
                    'code': 'unreachable',
                    'ran': 'unknown',
                    'message': 'no entry could tell how the job ended',
                    'last': self._last,
                },
            }
        )

    def _fetch(self) -> JobReport | None:
        path = f'/v1/jobs/{self._identifier}?wait_ms={_POLL_WAIT_MS}'
        timeout_s = _POLL_WAIT_MS / 1000 + _ANSWER_GRACE_S
        try:
            response = self._client.send(
                'GET', path, None, timeout_s=timeout_s
            )
            return self._report(document_of(response))
        except ConnectionLost:
            return None

    def _note_loss(self, error: ConnectionLost) -> None:
        if not isinstance(error, RequestNeverSent):
            self._may_run = True
        state = JobState.UNKNOWN if self._may_run else JobState.UNREACHABLE
        self._last = {
            'identifier': self._identifier,
            'state': state.value,
            'error': {
                'code': 'unreachable',
                'peer': self._client.address,
                'ran': 'unknown' if self._may_run else 'no',
                'message': str(error),
            },
        }

    def _can_wait(self, response: WebResponse) -> bool:
        """Tell whether the time to come back is before the deadline."""
        pause_s = _retry_after_s(response)
        return 0 < pause_s < self._left_s()

    def _pause_after(
        self, response: WebResponse, document: dict[str, Any]
    ) -> float:
        """Return how long to wait before the next entry is asked.

        Draining concerns that entry alone, so the others may be asked at
        once; after a round of draining entries the pause is due.
        """
        if document.get('error', {}).get('code') != 'draining':
            return _retry_after_s(response)
        self._draining += 1
        if self._draining % self._client.entry_count:
            return 0.0
        return _retry_after_s(response)

    def _left_s(self) -> float:
        return self._deadline_s - time.monotonic()

    def _pause(self, seconds: float) -> None:
        time.sleep(max(0.0, min(seconds, self._left_s())))

    def _report(self, document: dict[str, Any]) -> JobReport:
        took_ms = (time.monotonic() - self._started_s) * 1000
        whole = {**document, 'identifier': self._identifier}
        return JobReport.from_document(whole, self._attempts, took_ms)


def _retry_after_s(response: WebResponse) -> float:
    text: str = response.header_by_name.get('retry-after', '')
    if text.isascii() and text.isdigit():
        return float(text)
    return 0.0
