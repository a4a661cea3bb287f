"""Places the tasks of claimed jobs on upstreams and collects the results.

One lock guards the entry's active jobs, waiting queue and tokens. It is
never held across network I/O: sending on a link only queues the message.
"""

from collections.abc import Callable
import threading
import time
from typing import Final

from baobabgap.configuration import Configuration
from baobabgap.entry._active_job import ActiveJob
from baobabgap.entry._active_job import PendingTask
from baobabgap.entry._agent_links import AgentLinks
from baobabgap.entry._deadlines import Deadlines
from baobabgap.entry._failures import deadline_exceeded
from baobabgap.entry._failures import task_failed
from baobabgap.entry._failures import task_lost
from baobabgap.entry._outstanding import OutstandingTasks
from baobabgap.entry._placer import Placer
from baobabgap.entry._placer import uses_tokens
from baobabgap.entry._run_times import RunTimes
from baobabgap.entry._slow_upstream_detector import SlowUpstreamDetector
from baobabgap.entry._token_balancer import TokenBalancer
from baobabgap.entry._token_pool import TokenPool
from baobabgap.entry._waiting_queue import WaitingQueue
from baobabgap.jobs import JobAnswer
from baobabgap.jobs import JobFailure
from baobabgap.messages import CancelJobs
from baobabgap.messages import EntryState
from baobabgap.messages import SlotGrant
from baobabgap.messages import TaskOutcome
from baobabgap.messages import TaskResult
from baobabgap.messages import TaskResults
from baobabgap.messages import TokenTransfer
from baobabgap.messages import UpstreamLoad
from baobabgap.messages import UpstreamOffer
from baobabgap.settings import EntrySettings
from baobabgap.telemetry import Metrics
from baobabgap.transport import Connection

# A dispatch pass ends after this many jobs with tasks that fit nowhere.
_MAX_SKIPPED_JOBS: Final = 32


class Dispatcher:
    """Manages the active jobs of one entry, from claim to answer."""

    def __init__(
        self,
        settings: EntrySettings,
        availability_zone: str,
        incarnation: str,
        metrics: Metrics,
        on_end: Callable[[ActiveJob, JobAnswer], None],
    ) -> None:
        self.lock: Final = threading.RLock()
        self.pool: Final = TokenPool()
        self.balancer: Final = TokenBalancer(self.pool)
        self.run_times: Final = RunTimes()
        self.state_changed: Final = threading.Event()
        self._settings = settings
        self._availability_zone = availability_zone
        self._metrics = metrics
        self._on_end = on_end
        self._configuration = Configuration.from_state(0, {})
        self._has_configuration = False
        self._queue = WaitingQueue()
        self._job_by_identifier: dict[str, ActiveJob] = {}
        self._deadlines = Deadlines()
        self._outstanding = OutstandingTasks()
        self._links = AgentLinks()
        self._placer = Placer(
            self.pool, self._links, self._outstanding, incarnation, metrics
        )
        self._slow_upstreams = SlowUpstreamDetector(settings.suspension_s)
        self._waiting_work_ms = 0.0

    @property
    def configuration(self) -> Configuration:
        """The configuration in force; the defaults until one is received."""
        return self._configuration

    @property
    def has_configuration(self) -> bool:
        """Whether the control group has sent a configuration."""
        return self._has_configuration

    def set_configuration(self, configuration: Configuration) -> None:
        """Put a new configuration in force."""
        with self.lock:
            self._configuration = configuration
            self._has_configuration = True
            self.pool.set_evacuated_zones(configuration.evacuated_zones)
            self._dispatch()

    def active_job_count(self) -> int:
        """Return the number of jobs that have not ended."""
        return len(self._job_by_identifier)

    def find(self, identifier: str) -> ActiveJob | None:
        """Return an active job, or None."""
        return self._job_by_identifier.get(identifier)

    def outstanding_work_ms(self) -> float:
        """Return the expected run time of all waiting and placed tasks."""
        return self._waiting_work_ms + self._outstanding.work_ms

    def expected_wait_ms(self) -> float:
        """Estimate how many milliseconds a new task waits for a slot.

        Assumes that running tasks are half done, and that the peers' work
        splits into waiting and placed tasks like this entry's own.
        """
        own_ms = self.outstanding_work_ms()
        if self.pool.idle_tokens() > 0 or own_ms <= 0:
            return 0.0
        placed_share = self._outstanding.work_ms / own_ms
        all_ms = own_ms + self.balancer.peers_work_ms()
        remaining_ms = all_ms * (1 - placed_share / 2)
        return remaining_ms / max(self.pool.accepting_slots(), 1)

    # Jobs

    def add(self, job: ActiveJob) -> None:
        """Register a job whose claim is not committed yet."""
        with self.lock:
            self._job_by_identifier[job.identifier] = job
            self._deadlines.add(job)
            self._waiting_work_ms += sum(
                task.expected_ms for task in job.waiting
            )

    def enqueue(self, job: ActiveJob) -> bool:
        """Queue the tasks of a job whose claim has been committed.

        Returns False if the job has ended in the meantime.
        """
        with self.lock:
            if job.ended:
                return False
            job.log.event('claimed')
            self._queue.add(job, self._configuration.policy)
            self._dispatch()
            return True

    def withdraw(self, job: ActiveJob) -> bool:
        """Drop a job whose claim was not granted, without an answer.

        Returns False if the job has already ended.
        """
        with self.lock:
            if job.ended:
                return False
            self._close(job)
            job.log.finish('not_owned')
            return True

    def fail(self, job: ActiveJob, failure: JobFailure) -> bool:
        """End a job with a failure and cancel its remaining tasks.

        Returns False if the job has already ended.
        """
        with self.lock:
            if job.ended:
                return False
            agents = job.agents()
            self._close(job)
            for agent in agents:
                self._links.send(agent, CancelJobs((job.identifier,)))
                # The task that probes the agent may be one of this job.
                self._slow_upstreams.abandon_probe(agent, time.monotonic())
            self._answer(job, JobAnswer.from_failure(job.identifier, failure))
            return True

    def _close(self, job: ActiveJob) -> None:
        job.ended = True
        self._waiting_work_ms -= sum(task.expected_ms for task in job.waiting)
        self._job_by_identifier.pop(job.identifier, None)

    def _answer(self, job: ActiveJob, answer: JobAnswer) -> None:
        failure = answer.failure
        job.log.finish('whole' if failure is None else failure.code)
        self._on_end(job, answer)
        job.future.set_result(answer)

    # Agents

    def agent_up(self, link: Connection) -> None:
        """Register a new link to an agent and ask for its tasks' outcomes."""
        agent = link.peer.name
        with self.lock:
            self._links.add(link)
            self._slow_upstreams.forget(agent)
            is_same_zone = (
                link.peer.availability_zone == self._availability_zone
            )
            self.pool.add(
                agent,
                link.peer.incarnation,
                is_same_zone,
                link.peer.availability_zone,
            )
            for request in self._outstanding.link_returned(agent):
                link.send(request)

    def agent_down(self, link: Connection) -> None:
        """Remove a lost link; its tasks wait for the agent to reconnect."""
        agent = link.peer.name
        with self.lock:
            if not self._links.remove(link):
                return
            self.pool.remove(agent)
            self._placer.forget(agent)
            self._outstanding.link_lost(agent, time.monotonic())

    def handle_offer(self, link: Connection, offer: UpstreamOffer) -> None:
        """Replace the offer of an agent's upstream."""
        with self.lock:
            if self._links.is_current(link):
                self.pool.set_offer(link.peer.name, offer)
                self._dispatch()

    def handle_grant(self, link: Connection, grant: SlotGrant) -> None:
        """Replace the idle tokens of an agent by those that it granted."""
        with self.lock:
            if not self._links.is_current(link):
                return
            if not self.pool.set_grant(
                link.peer.name, grant.epoch, grant.tokens
            ):
                self._count_wasted('old_grant')
            self._dispatch()

    def handle_load(self, link: Connection, load: UpstreamLoad) -> None:
        """Record a load report, for the baseline policies."""
        with self.lock:
            if self._links.is_current(link):
                self._placer.record_load(link.peer.name, load)

    def handle_results(self, link: Connection, message: TaskResults) -> None:
        """Process results, and spend the tokens that they return."""
        agent = link.peer.name
        with self.lock:
            # Epochs are counted by each process of an agent anew.
            takes_tokens = self._links.is_current(link)
            for result in message.results:
                self._handle_result(agent, result, takes_tokens)
            self._dispatch()

    def _handle_result(
        self, agent: str, result: TaskResult, takes_tokens: bool
    ) -> None:
        is_token_accepted = (
            takes_tokens
            and result.token_returns
            and self.pool.return_token(agent, result.epoch)
        )
        placed = self._outstanding.find(agent, result.job, result.task)
        if placed is not None and placed.is_about_another_placement(
            result.placement
        ):
            # The agent's present result of the task, if any, must stay
            # there until it has arrived, so nothing is acknowledged.
            self._count_wasted('earlier_placement')
            return
        self._links.record_result(agent, result.job, result.task)
        if result.outcome is not TaskOutcome.DONE:
            self._slow_upstreams.abandon_probe(agent, time.monotonic())
        task = self._outstanding.remove(agent, result.job, result.task)
        job = self._job_by_identifier.get(result.job)
        if task is None or job is None:
            if not is_token_accepted:
                self._count_wasted('late_result')
            if result.outcome is TaskOutcome.NOT_STARTED:
                # The task may be placed on the same agent again.
                self._links.acknowledge(agent)
            return
        match result.outcome:
            case TaskOutcome.DONE:
                self._handle_value(agent, job, task, result)
            case TaskOutcome.NOT_STARTED:
                self._requeue(agent, job, result)
            case TaskOutcome.FAILED:
                job.placed_by_task.pop(result.task, None)
                self.fail(job, task_failed(result, agent))
            case TaskOutcome.LOST:
                job.placed_by_task.pop(result.task, None)
                reason = str(result.value)
                self.fail(job, task_lost(job, result.task, agent, reason))

    def _handle_value(
        self,
        agent: str,
        job: ActiveJob,
        task: PendingTask,
        result: TaskResult,
    ) -> None:
        client = job.client
        self._end_probe(agent, job, task, result.run_time_ms)
        if not self._slow_upstreams.is_suspended(agent):
            kind = task.submission.kind
            self.run_times.learn(client, kind, result.run_time_ms)
        job.record_value(result.task, result.value)
        if job.is_complete():
            self._close(job)
            self._answer(job, job.build_answer())

    def _end_probe(
        self, agent: str, job: ActiveJob, task: PendingTask, run_ms: float
    ) -> None:
        limit_ms = self.run_times.overdue_threshold_ms(
            job.client, task.submission
        )
        was_slow = limit_ms is not None and run_ms > limit_ms
        if self._slow_upstreams.end_probe(agent, was_slow, time.monotonic()):
            if self.pool.get(agent) is not None:
                self.pool.suspend(agent, False)

    def _requeue(self, agent: str, job: ActiveJob, result: TaskResult) -> None:
        task = job.requeue(result.task)
        if task is None:
            return
        self._metrics.count('baobabgap_tasks_moved_total')
        # The agent keeps the result until it is acknowledged, and the task
        # may be placed on the same agent again.
        self._links.acknowledge(agent)
        self._waiting_work_ms += task.expected_ms
        self._queue.add(job, self._configuration.policy)

    # Placement

    def handle_transfer(self, transfer: TokenTransfer) -> None:
        """Add tokens that a peer entry transferred."""
        with self.lock:
            if not self.pool.accept_transfer(transfer):
                self._count_wasted('void_transfer')
            self._dispatch()

    def handle_peer_state(self, link: Connection, state: EntryState) -> None:
        """Record the state of a peer entry, and transfer tokens if due."""
        with self.lock:
            self.balancer.update_peer(link, state, time.monotonic())
            self._dispatch()

    def state(self, now: float) -> EntryState:
        """Build the state report for the peers."""
        head_deadline_at = self._queue.head_deadline()
        return EntryState(
            backlog_tasks=self._queue.waiting_task_count(),
            head_slack_ms=0.0
            if head_deadline_at is None
            else (head_deadline_at - now) * 1000,
            idle_tokens=self.pool.idle_tokens(),
            outstanding_work_ms=self.outstanding_work_ms(),
        )

    def _dispatch(self) -> None:
        """Place as many waiting tasks as there are tokens for them."""
        now = time.monotonic()
        policy = self._configuration.policy
        skipped_jobs: list[ActiveJob] = []
        while len(skipped_jobs) < _MAX_SKIPPED_JOBS:
            if not self._placer.can_place(policy):
                break
            head_deadline_at = self._queue.head_deadline()
            if head_deadline_at is None:
                break
            if self.balancer.yield_to_urgent_peer(head_deadline_at):
                continue
            job = self._queue.pop()
            if job is None:
                break
            self._waiting_work_ms -= self._placer.place(job, policy, now)
            if job.waiting:
                skipped_jobs.append(job)
        for job in skipped_jobs:
            self._queue.add(job, policy)
        self._placer.flush(policy, now)
        if self._queue.head_deadline() is None:
            self.balancer.share_idle_tokens(policy)
        self.state_changed.set()

    # Periodic checks

    def acknowledge_results(self) -> None:
        """Acknowledge all results, so that the agents can discard them."""
        with self.lock:
            self._links.acknowledge_all()

    def expire(self, now: float) -> float:
        """Fail the jobs that can no longer meet their deadline.

        Returns the monotonic time of the next check.
        """
        with self.lock:
            for job in self._deadlines.pop_due(now):
                self.fail(
                    job, deadline_exceeded(job, self._expected_completion_s())
                )
            return self._deadlines.next_at()

    def _expected_completion_s(self) -> float:
        """Estimate the seconds until the outstanding work is done."""
        slots = max(self.pool.accepting_slots(), 1)
        return self.outstanding_work_ms() / 1000 / slots

    def fail_jobs_of_lost_agents(self, now: float) -> None:
        """Fail jobs with tasks on agents that did not reconnect in time."""
        limit_s = self._settings.agent_return_s
        reason = f'no link to its agent for {limit_s} s'
        with self.lock:
            for agent, job, task in self._outstanding.pop_lost(now - limit_s):
                identifier = task.submission.identifier
                self.fail(job, task_lost(job, identifier, agent, reason))

    def check_upstreams(self, now: float) -> None:
        """Suspend upstreams on which most tasks are overdue."""
        with self.lock:
            if not uses_tokens(self._configuration.policy):
                # An overdue task may only have queued at its agent.
                return
            for tokens in list(self.pool):
                agent = tokens.agent
                overdue, outstanding = self._outstanding.count_overdue(
                    agent, self.run_times, now
                )
                if self._slow_upstreams.suspend_if_slow(
                    agent, overdue, outstanding, len(self.pool), now
                ):
                    self._metrics.count('baobabgap_upstreams_suspended_total')
                    self.pool.suspend(agent, True)
            for agent in self._slow_upstreams.due_for_probe(now):
                self._probe_suspended(agent, now)

    def _probe_suspended(self, agent: str, now: float) -> None:
        job = self._queue.pop()
        if job is None:
            return
        placed_ms = self._placer.place_one_at(agent, job, now)
        if placed_ms is not None:
            self._waiting_work_ms -= placed_ms
            self._slow_upstreams.start_probe(agent)
            self._placer.flush(self._configuration.policy, now)
        if job.waiting:
            self._queue.add(job, self._configuration.policy)

    def _count_wasted(self, kind: str) -> None:
        self._metrics.count(
            f'baobabgap_wasted_messages_total{{kind="{kind}"}}'
        )
