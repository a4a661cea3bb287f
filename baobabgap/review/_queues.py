"""Review of a configuration of queues, services and request limits."""

from collections.abc import Iterator
from dataclasses import asdict
import re
from typing import Any
from typing import Final

from baobabgap.queues import JobQueue
from baobabgap.queues import QueueConfiguration
from baobabgap.queues import QueueTable
from baobabgap.queues import RequestLimits
from baobabgap.review._findings import differences_of
from baobabgap.review._findings import Finding
from baobabgap.review._findings import Review

# A job identifier such as callers append to the prefix of a queue.
_ANY_JOB_ID: Final = '0' * 16
# Characters that no host of a request holds.
_NO_HOST: Final = re.compile(r'[/?#@\s]|^$')
# What no decoded path of a request holds.
_NO_PATH: Final = re.compile(r'[?#\s]|%[0-9A-Fa-f]{2}')


def review_queues(
    configuration: QueueConfiguration,
    in_force: QueueConfiguration | None = None,
) -> Review:
    """Review a configuration that has been decoded without errors.

    Without one in force, everything in it is a difference.
    """
    findings = [
        *_review_version(configuration, in_force),
        *_review_matches(configuration),
        *_review_services(configuration),
        *(
            finding
            for queue in configuration.queues
            for finding in _review_times(queue)
        ),
        *_review_limits(configuration.limits),
    ]
    before = _as_document(in_force) if in_force else {}
    return Review(
        tuple(findings),
        differences_of(before, _as_document(configuration)),
    )


def _review_version(
    configuration: QueueConfiguration, in_force: QueueConfiguration | None
) -> Iterator[Finding]:
    if in_force is None or configuration.version > in_force.version:
        return
    if configuration.source == in_force.source:
        yield Finding.warning('version', 'this configuration is in force')
        return
    yield Finding.warning(
        'version',
        f'{configuration.version} is not above the one in force, '
        f'{in_force.version}: it would be acknowledged without effect',
    )


def _review_matches(configuration: QueueConfiguration) -> Iterator[Finding]:
    """Yield the queues that no request, or not every one, can reach."""
    table = QueueTable.from_configuration(configuration)
    for queue in configuration.queues:
        subject = _subject_of(queue)
        if _NO_HOST.search(queue.host):
            yield Finding.warning(
                subject, f'no request has the host {queue.host!r}'
            )
            continue
        if not queue.path_prefix.startswith('/') or _NO_PATH.search(
            queue.path_prefix
        ):
            yield Finding.warning(
                subject,
                f'no path of a request begins with {queue.path_prefix!r}',
            )
            continue
        match = table.find(queue.host, queue.path_prefix + _ANY_JOB_ID)
        if match is not None and match.queue is not queue:
            yield Finding.warning(
                subject,
                f'never matches: {_subject_of(match.queue)} has the same '
                'host and prefix once ports and case are ignored',
            )
        elif not queue.path_prefix.endswith('/'):
            yield Finding.warning(
                subject,
                f'the prefix {queue.path_prefix!r} also takes other paths '
                'that begin with it; end it with a slash',
            )


def _review_services(configuration: QueueConfiguration) -> Iterator[Finding]:
    used = {queue.service for queue in configuration.queues}
    for service in configuration.services:
        if service.name not in used:
            yield Finding.warning(
                f'service {service.name}', 'no queue sends tasks to it'
            )


def _review_times(queue: JobQueue) -> Iterator[Finding]:
    """Yield times of a queue that no job can keep."""
    subject = _subject_of(queue)
    if queue.timeout_ms < queue.latency_allowance_ms:
        yield Finding.warning(
            subject,
            f'its time limit of {queue.timeout_ms} ms ends before its '
            f'latency allowance of {queue.latency_allowance_ms} ms',
        )
    if queue.stretch < 1:
        yield Finding.warning(
            subject,
            f'with a stretch of {queue.stretch}, a job is late even if it '
            'starts at once, unless it ends within the latency allowance',
        )


def _review_limits(limits: RequestLimits) -> Iterator[Finding]:
    if limits.idle_timeout_ms < limits.header_timeout_ms:
        yield Finding.warning(
            'limits',
            f'idle connections are closed after {limits.idle_timeout_ms} ms, '
            'before the time for a header, '
            f'{limits.header_timeout_ms} ms, has passed',
        )
    for name, value in asdict(limits).items():
        if not value:
            yield Finding.warning('limits', f'{name} is 0: it admits nothing')


def _as_document(configuration: QueueConfiguration) -> dict[str, Any]:
    return {
        'version': configuration.version,
        'limits': asdict(configuration.limits),
        **{
            _subject_of(queue): asdict(queue) for queue in configuration.queues
        },
        **{
            f'service {service.name}': asdict(service)
            for service in configuration.services
        },
    }


def _subject_of(queue: JobQueue) -> str:
    return f'queue {queue.name}'
