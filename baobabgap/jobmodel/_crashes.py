"""Which task made its upstreams crash, judged by the runs lost there."""

from collections.abc import Mapping
from collections.abc import Sequence
from enum import StrEnum
from typing import Final

# A task that makes an upstream crash mostly does so soon after its start. A
# run that started up to this long before the last one may be the cause, too,
# as starts are sent in parallel and a crash takes a moment.
_LAST_STARTS_MS: Final = 25
# Crashes of upstreams under a task after which it is given up.
_CRASHES_TO_GIVE_UP: Final = 3
# The same if nothing else ran on the last of these upstreams.
_CRASHES_TO_GIVE_UP_ALONE: Final = 2

# The reason of a failed job one of whose tasks is given up.
UPSTREAM_CRASHES: Final = 'upstreams crashed under one of its tasks'


class CrashEvidence(StrEnum):
    """How strongly the crash of an upstream points to a run there."""

    # Other runs had started later.
    WEAK = 'weak'
    # It was among the last runs that had started.
    STRONG = 'strong'
    # Nothing else ran there.
    ALONE = 'alone'


def weigh_crash(ages_ms: Sequence[int | None]) -> list[CrashEvidence]:
    """Return the evidence against each run that was lost in one crash.

    `ages_ms` has for each run the milliseconds from its start to the crash,
    or None if its start is unknown and so long ago. For example, of three
    runs started 700, 30 and 10 ms before, the last two are suspected::

        >>> [str(evidence) for evidence in weigh_crash([700, 30, 10])]
        ['weak', 'strong', 'strong']
    """
    if len(ages_ms) == 1:
        return [CrashEvidence.ALONE]
    known_ms = [age_ms for age_ms in ages_ms if age_ms is not None]
    if not known_ms:
        return [CrashEvidence.STRONG] * len(ages_ms)
    limit_ms = min(known_ms) + _LAST_STARTS_MS
    return [
        CrashEvidence.STRONG
        if age_ms is not None and age_ms <= limit_ms
        else CrashEvidence.WEAK
        for age_ms in ages_ms
    ]


def is_given_up(evidence_by_run: Mapping[int, CrashEvidence]) -> bool:
    """Return whether a task must not be started again.

    `evidence_by_run` has the runs of the task that were lost in crashes.
    Two crashes may be a coincidence as long as other tasks ran there.
    """
    if len(evidence_by_run) >= _CRASHES_TO_GIVE_UP:
        return True
    return (
        len(evidence_by_run) >= _CRASHES_TO_GIVE_UP_ALONE
        and evidence_by_run[max(evidence_by_run)] is CrashEvidence.ALONE
    )


def must_run_alone(evidence_by_run: Mapping[int, CrashEvidence]) -> bool:
    """Return whether the next run of a task must not endanger others.

    Run alone, a task that did no harm can complete, and one that makes its
    upstream crash is found, at the cost of no other run.
    """
    if not evidence_by_run:
        return False
    last = evidence_by_run[max(evidence_by_run)]
    return len(evidence_by_run) > 1 or last is not CrashEvidence.WEAK
