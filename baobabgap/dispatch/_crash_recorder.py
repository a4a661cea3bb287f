"""Records crashes of upstreams against the tasks that ran there."""

from typing import Final

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import CrashEvidence
from baobabgap.accepted import JobEnd
from baobabgap.accepted import JobState
from baobabgap.accepted import RunEnd
from baobabgap.accepted import TaskEnd
from baobabgap.accepted import UPSTREAM_CRASHES
from baobabgap.accepted import weigh_crash
from baobabgap.dispatch._job_closer import JobCloser
from baobabgap.dispatch._run_tracker import task_text
from baobabgap.dispatch._term_state import TermState
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
        found = self._term_state.find(row.task)
        if found is None:
            return False
        plan, task = found
        if row.run in task.evidence_by_run:
            return False
        plan.note_crash(task, row.run, evidence)
        if self._state.state_of(row.task.job_id) is not None:
            self._closer.add_end(
                TaskEnd(row.task, row.run, RunEnd.INTERRUPTED, evidence)
            )
        elif task.is_given_up:
            self._closer.close(
                JobEnd(plan.job.job_id, JobState.FAILED, UPSTREAM_CRASHES)
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
            evidence: [] for evidence in reversed(CrashEvidence)
        }
        for row, evidence in new:
            runs_by_evidence[evidence].append(
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
