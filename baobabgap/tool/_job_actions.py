"""Implements the job commands."""

import json

from baobabgap._exceptions import InvalidInput
from baobabgap.jobs import JobIdentifier
from baobabgap.tool._batch import Batch
from baobabgap.tool._client import document_of
from baobabgap.tool._client import EntryClient
from baobabgap.tool._exit import ExitCode
from baobabgap.tool._jobs_file import read_jobs
from baobabgap.tool._submitter import JobReport
from baobabgap.tool._submitter import JobState
from baobabgap.tool._tables import render_job


def submit(
    file: str, entries: str, concurrency: int, as_json: bool
) -> ExitCode:
    """Submit all jobs of a file and print each report when it arrives."""
    if concurrency < 1:
        raise InvalidInput('must be 1 or more', step='concurrency')
    EntryClient.from_text(entries)
    jobs = read_jobs(file)
    batch = Batch(jobs, entries, lambda report: _print_report(report, as_json))
    return batch.run(concurrency)


def show_status(
    job: str, wait_ms: int, entries: str, as_json: bool
) -> ExitCode:
    """Print the result of a job, or that it is still pending."""
    path = f'/v1/jobs/{JobIdentifier.from_text(job)}?wait_ms={wait_ms}'
    return _request_job('GET', path, entries, wait_ms / 1000 + 15.0, as_json)


def cancel(job: str, entries: str, as_json: bool) -> ExitCode:
    """Cancel a job and print its result.

    The command succeeds if the job ends as cancelled.
    """
    path = f'/v1/jobs/{JobIdentifier.from_text(job)}'
    return _request_job('DELETE', path, entries, 15.0, as_json)


def _request_job(
    method: str, path: str, entries: str, timeout_s: float, as_json: bool
) -> ExitCode:
    client = EntryClient.from_text(entries)
    response = client.request(method, path, timeout_s=timeout_s)
    client.close()
    report = JobReport.from_document(document_of(response), 0, 0.0)
    _print_report(report, as_json)
    if method == 'DELETE' and _is_cancelled(report):
        return ExitCode.DONE
    return report.exit_code


def _is_cancelled(report: JobReport) -> bool:
    error = report.document.get('error', {})
    return report.state in (JobState.FAILED, JobState.REFUSED) and (
        error.get('code') == 'cancelled'
    )


def _print_report(report: JobReport, as_json: bool) -> None:
    if as_json:
        line = dict(report.document)
        if report.attempts > 0:
            line['attempts'] = report.attempts
            line['took_ms'] = round(report.took_ms, 1)
        print(json.dumps(line), flush=True)
    else:
        print(render_job(report), flush=True)
