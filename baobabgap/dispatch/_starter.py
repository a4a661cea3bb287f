"""Start orders for waiting tasks."""

from collections import defaultdict
import math
import time
from typing import Final

from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._run_tracker import RunTracker
from baobabgap.dispatch._run_tracker import task_text
from baobabgap.dispatch._term_state import TermState
from baobabgap.jobmodel import AcceptedJob
from baobabgap.protocol import LeaseTiming
from baobabgap.protocol import RunOrder
from baobabgap.protocol import StartRuns
from baobabgap.scheduling import Claim
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import place_waiting
from baobabgap.scheduling import Placement
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling import PlannedTask
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics

# Offset between the run numbers of consecutive terms, so that a new leader
# needn't know which numbers its predecessor assigned.
_RUNS_PER_TERM: Final = 1000


class TaskStarter:
    """Sends start orders to agents for the placements that are planned."""

    def __init__(
        self,
        term_state: TermState,
        runs: RunTracker,
        off_rack_factor: float,
        timing: LeaseTiming,
        metrics: Metrics,
    ) -> None:
        self._term_state: Final = term_state
        self._runs: Final = runs
        self._off_rack_factor: Final = off_rack_factor
        # The rest of an older authority may be too short for a lease.
        self._authority_s: Final = timing.authority_s - timing.longest_lease_s
        self._metrics: Final = metrics

    def start(self) -> None:
        """Start all tasks that can start; called by the confirmed leader."""
        term_state = self._term_state
        orders_by_agent: dict[str, list[RunOrder]] = defaultdict(list)
        runs_by_job: dict[str, list[str]] = defaultdict(list)
        claim_by_job: dict[str, Claim] = {}
        earlier_by_job: dict[str, list[str]] = defaultdict(list)
        for service, queue in term_state.queue_by_service.items():
            if not queue:
                continue
            for placement in place_waiting(
                queue,
                term_state.pool_by_service[service],
                self._off_rack_factor,
                time.monotonic(),
                self._may_start_on,
            ):
                if self._runs.await_tracked_run(
                    placement.plan, placement.task
                ):
                    continue
                number = self._record_start(placement)
                name, task = placement.target.name, placement.task.task
                orders_by_agent[name].append(
                    RunOrder(
                        task,
                        number,
                        placement.plan.job.payload,
                        placement.demand,
                    )
                )
                if placement.task.earlier_run:
                    earlier_by_job[task.job_id].append(
                        _earlier_run_text(placement.task, time.monotonic())
                    )
                runs_by_job[task.job_id].append(
                    f'{task_text(task)}#{number}@{name}'
                )
                if placement.claim is not None:
                    self._metrics.count('baobabgap_starts_beside_claims_total')
                    claim_by_job[task.job_id] = placement.claim
        for name, orders in orders_by_agent.items():
            self._send(term_state.view_by_name[name], tuple(orders))
        for job_id, runs in runs_by_job.items():
            self._log(
                term_state.plan_by_id[job_id],
                runs,
                earlier_by_job[job_id],
                claim_by_job.get(job_id),
            )

    def _may_start_on(self, target: PlacementTarget) -> bool:
        view = self._term_state.view_by_name[target.name]
        return view.may_start(self._authority_s)

    def _record_start(self, placement: Placement) -> int:
        """Record the run that is to be ordered; return its number."""
        plan, task = placement.plan, placement.task
        view = self._term_state.view_by_name[placement.target.name]
        number = self._next_run(plan.job, task)
        self._runs.add(view, plan, task, number)
        self._term_state.last_start_at_by_service[plan.job.service] = (
            time.monotonic()
        )
        if placement.target.is_cold:
            self._metrics.count('baobabgap_starts_on_cold_upstreams_total')
        return number

    def _send(self, view: AgentView, orders: tuple[RunOrder, ...]) -> None:
        assert view.connection is not None and view.upstream is not None
        self._metrics.count('baobabgap_starts_total', len(orders))
        view.note_starts_sent(order.task for order in orders)
        view.connection.send(
            StartRuns(
                self._term_state.term,
                view.upstream.instance,
                view.upstream.born_ms,
                orders,
            )
        )

    def _log(
        self,
        plan: JobPlan,
        runs: list[str],
        earlier_runs: list[str],
        claim: Claim | None,
    ) -> None:
        self._metrics.count(
            f'baobabgap_queue_starts_total{{queue="{plan.job.queue}"}}',
            len(runs),
        )
        waited_s = time.monotonic() - plan.arrived_at
        self._metrics.observe_seconds('baobabgap_wait_seconds', waited_s)
        log_event(
            'job_placed',
            job=plan.job.job_id,
            runs=runs,
            waited_ms=round(1000 * waited_s),
            term=self._term_state.term,
            **({'after_earlier_runs': earlier_runs} if earlier_runs else {}),
            **_claim_fields(claim, time.monotonic()),
        )

    def _next_run(self, job: AcceptedJob, task: PlannedTask) -> int:
        terms = max(0, self._term_state.term - job.term)
        return max(1 + _RUNS_PER_TERM * terms, task.last_run + 1)


def _earlier_run_text(task: PlannedTask, now: float) -> str:
    """Return the run that a task waited for and how long ago it ended.

    A task is started after such a run once only.
    """
    ended_ms = round(1000 * (now - task.earlier_run_ended_at))
    text = f'{task.earlier_run}, ended {ended_ms} ms before'
    task.earlier_run = ''
    return text


def _claim_fields(claim: Claim | None, now: float) -> dict[str, object]:
    """Return what a start beside a more urgent waiting step is logged with."""
    if claim is None:
        return {}
    fields: dict[str, object] = {
        'beside_job': claim.job_id,
        'beside_millicores': claim.demand.cpu_millicores,
    }
    if claim.fits_at < math.inf:
        fields['beside_fits_in_ms'] = round(1000 * (claim.fits_at - now))
    if claim.most_slowness < math.inf:
        fields['beside_most_slowness'] = round(claim.most_slowness, 2)
    return fields
