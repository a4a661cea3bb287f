"""Submits one job until its result is known or its deadline passes.

A job is resubmitted with the same identifier, also through another
entry. Resubmission is idempotent: the system starts its tasks at most
once, and a resubmission joins the running job or gets the stored answer.
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
from baobabgap.webclient import RequestNeverSent
from baobabgap.webclient import WebResponse

_MAX_ATTEMPTS: Final = 30
_RETRY_PAUSE_S: Final = 0.2
# Time that an entry may take after the deadline to answer, plus transit.
_ANSWER_GRACE_S: Final = 3.0
_POLL_WAIT_MS: Final = 2000


class JobState(StrEnum):
    """The last known state of a job."""

    WHOLE = 'whole'
    REFUSED = 'refused'
    FAILED = 'failed'
    PENDING = 'pending'
    # A request was lost, and no entry could report the result.
    UNKNOWN = 'unknown'
    # No request reached any entry, so nothing ran.
    UNREACHABLE = 'unreachable'


EXIT_CODE_BY_STATE: Final = {
    JobState.WHOLE: ExitCode.DONE,
    JobState.REFUSED: ExitCode.REFUSED,
    JobState.FAILED: ExitCode.FAILED,
    JobState.PENDING: ExitCode.PENDING,
    JobState.UNKNOWN: ExitCode.UNREACHABLE,
    JobState.UNREACHABLE: ExitCode.UNREACHABLE,
}

_FINAL_STATES: Final = (JobState.WHOLE, JobState.FAILED)


@dataclass(frozen=True, slots=True)
class JobReport:
    """The result of one job as its client observed it."""

    # The job's identifier.
    identifier: str
    # The last known state.
    state: JobState
    # The last document from an entry, or one that describes the lost
    # request.
    document: dict[str, Any]
    # The number of times it was sent.
    attempts: int
    # Milliseconds from the first request to the result.
    took_ms: float

    @classmethod
    def from_document(
        cls, document: dict[str, Any], attempts: int, took_ms: float
    ) -> 'JobReport':
        """Parse an entry's document; an invalid state becomes `unknown`."""
        try:
            state = JobState(document.get('state', ''))
        except ValueError:
            state = JobState.UNKNOWN
        identifier = str(document.get('identifier', ''))
        return cls(identifier, state, document, attempts, took_ms)

    @property
    def exit_code(self) -> ExitCode:
        """The exit code for this job alone."""
        return EXIT_CODE_BY_STATE[self.state]


class JobSubmitter:
    """Submits one job, with retries and failover between entries."""

    def __init__(self, client: EntryClient, document: dict[str, Any]) -> None:
        self._client = client
        self._job = document
        self._identifier = str(document['identifier'])
        self._started_s = time.monotonic()
        self._deadline_s = (
            self._started_s + int(document['deadline_ms']) / 1000
        )
        self._attempts = 0
        self._draining_answers = 0
        # Set once a lost request may have reached an entry.
        self._may_run = False
        self._last_document: dict[str, Any] = {}

    def run(self) -> JobReport:
        """Submit until the result is known; lost entries raise no error."""
        while self._attempts < _MAX_ATTEMPTS and self._remaining_s() > 0:
            self._attempts += 1
            report = self._attempt()
            if report is None:
                continue
            if report.state is JobState.REFUSED and self._may_run:
                # This request ran nothing, but the lost one may have.
                return self._look_up_result()
            return report
        if self._may_run:
            return self._look_up_result()
        return self._report(self._last_document)

    def _attempt(self) -> JobReport | None:
        """Send the job once; return None if it should be sent again."""
        job = {
            **self._job,
            'deadline_ms': max(1, int(self._remaining_s() * 1000)),
        }
        timeout_s = self._remaining_s() + _ANSWER_GRACE_S
        try:
            response = self._client.send(
                'POST', '/v1/jobs', job, timeout_s=timeout_s
            )
            document = document_of(response)
        except ConnectionLost as error:
            self._record_lost_request(error)
            self._client.use_next_entry()
            self._pause(_RETRY_PAUSE_S)
            return None
        self._last_document = document
        report = self._report(document)
        if report.state is JobState.PENDING:
            return self._look_up_result()
        if (
            report.state is not JobState.WHOLE
            and self._can_retry_before_deadline(response)
        ):
            # Only a refusal guarantees that nothing runs.
            self._may_run |= report.state is not JobState.REFUSED
            self._client.use_next_entry()
            self._pause(self._retry_pause_s(response, document))
            return None
        return report

    def _look_up_result(self) -> JobReport:
        """Ask the entries for the result until the deadline has passed."""
        give_up_s = self._deadline_s + _ANSWER_GRACE_S
        for _ in range(_MAX_ATTEMPTS):
            report = self._fetch()
            if report is not None and report.state in _FINAL_STATES:
                return report
            self._client.use_next_entry()
            if time.monotonic() >= give_up_s:
                break
            self._pause(_RETRY_PAUSE_S)
        return self._report(
            {
                'identifier': self._identifier,
                'state': JobState.UNKNOWN.value,
                'error': {
                    'code': 'unreachable',
                    'ran': 'unknown',
                    'message': 'no entry could tell how the job ended',
                    'last': self._last_document,
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

    def _record_lost_request(self, error: ConnectionLost) -> None:
        if not isinstance(error, RequestNeverSent):
            self._may_run = True
        state = JobState.UNKNOWN if self._may_run else JobState.UNREACHABLE
        self._last_document = {
            'identifier': self._identifier,
            'state': state.value,
            'error': {
                'code': 'unreachable',
                'peer': self._client.address,
                'ran': 'unknown' if self._may_run else 'no',
                'message': str(error),
            },
        }

    def _can_retry_before_deadline(self, response: WebResponse) -> bool:
        """Return whether the Retry-After time ends before the deadline."""
        pause_s = _retry_after_s(response)
        return 0 < pause_s < self._remaining_s()

    def _retry_pause_s(
        self, response: WebResponse, document: dict[str, Any]
    ) -> float:
        """Return the seconds to wait before trying the next entry.

        Draining affects one entry only, so the others can be tried at
        once; after a full round of draining answers the Retry-After time
        applies.
        """
        if document.get('error', {}).get('code') != 'draining':
            return _retry_after_s(response)
        self._draining_answers += 1
        if self._draining_answers % self._client.entry_count:
            return 0.0
        return _retry_after_s(response)

    def _remaining_s(self) -> float:
        return self._deadline_s - time.monotonic()

    def _pause(self, seconds: float) -> None:
        time.sleep(max(0.0, min(seconds, self._remaining_s())))

    def _report(self, document: dict[str, Any]) -> JobReport:
        took_ms = (time.monotonic() - self._started_s) * 1000
        identified_document = {**document, 'identifier': self._identifier}
        return JobReport.from_document(
            identified_document, self._attempts, took_ms
        )


def _retry_after_s(response: WebResponse) -> float:
    text: str = response.header_by_name.get('retry-after', '')
    if text.isascii() and text.isdigit():
        return float(text)
    return 0.0
