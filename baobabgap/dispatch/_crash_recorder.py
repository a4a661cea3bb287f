"""Records crashes of upstreams against the tasks that ran there."""

import time
from typing import Final

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import JobEnd
from baobabgap.dispatch._job_closer import JobCloser
from baobabgap.dispatch._run_tracker import task_text
from baobabgap.dispatch._term_state import TermState
from baobabgap.jobmodel import CrashEvidence
from baobabgap.jobmodel import JobState
from baobabgap.jobmodel import RunEnd
from baobabgap.jobmodel import TaskEnd
from baobabgap.jobmodel import UPSTREAM_CRASHES
from baobabgap.jobmodel import weigh_crash
from baobabgap.protocol import RunRow
from baobabgap.protocol import RunsGone
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics


class CrashRecorder:
    """Records crashes, and fails the jobs whose tasks are given up.

    Crashes under tasks of stored jobs are stored, so that they count for
    later leaders, too.
    """

    def __init__(
        self,
        term_state: TermState,
        closer: JobCloser,
        state: AcceptedState,
        metrics: Metrics,
    ) -> None:
        self._term_state: Final = term_state
        self._closer: Final = closer
        # Only read by single look-ups, which are safe against concurrent
        # updates.
        self._state: Final = state
        self._metrics: Final = metrics

    def record(self, agent: str, crash: RunsGone) -> None:
        """Record one crash; a repeated call has no effect."""
        evidence = weigh_crash([row.age_ms for row in crash.runs])
        new = [
            (row, evidence_of_run)
            for row, evidence_of_run in zip(crash.runs, evidence, strict=True)
            if self._record_run(row, evidence_of_run)
        ]
        if new:
            self._log(agent, crash, new)

    def _record_run(self, row: RunRow, evidence: CrashEvidence) -> bool:
        """Record a crash against one run; return whether it is news."""
        if self._state.state_of(row.task.job_id) is not None:
            return self._record_stored(row, evidence)
        is_news = self._term_state.crash_history.add(
            row.task, row.run, evidence, time.monotonic()
        )
        found = self._term_state.find(row.task)
        if is_news and found is not None:
            plan, task = found
            plan.note_crash(task, row.run, evidence)
            if task.is_given_up:
                self._closer.close(
                    JobEnd(plan.job.job_id, JobState.FAILED, UPSTREAM_CRASHES)
                )
        return is_news

    def _record_stored(self, row: RunRow, evidence: CrashEvidence) -> bool:
        """Record a crash against a run of a stored job."""
        found = self._term_state.find(row.task)
        if found is None or row.run in found[1].evidence_by_run:
            return False
        plan, task = found
        plan.note_crash(task, row.run, evidence)
        self._closer.add_end(
            TaskEnd(row.task, row.run, RunEnd.INTERRUPTED, evidence)
        )
        return True

    def _log(
        self,
        agent: str,
        crash: RunsGone,
        new: list[tuple[RunRow, CrashEvidence]],
    ) -> None:
        """Log a crash with the runs by the evidence against them."""
        self._metrics.count('baobabgap_upstream_crashes_total')
        runs_by_evidence: dict[str, list[str]] = {
            str(evidence): [] for evidence in reversed(CrashEvidence)
        }
        for row, evidence in new:
            runs_by_evidence[str(evidence)].append(
                f'{row.task.job_id}.{task_text(row.task)}#{row.run}'
            )
            self._metrics.count(
                f'baobabgap_crashed_runs_total{{evidence="{evidence}"}}'
            )
        log_event(
            'upstream_crashed',
            agent=agent,
            instance=crash.instance,
            born_ms=crash.born_ms,
            runs=runs_by_evidence,
        )
