"""Places the tasks of claimed jobs on upstreams and gathers the results.

All state of the entry's active jobs, waiting queue and tokens is behind
one lock; nothing done under it waits for a peer, since sending on a link
only queues.
"""

from collections.abc import Callable
import math
import threading
import time
from typing import Final

from baobabgap.configuration import Configuration
from baobabgap.configuration import PlacementPolicy
from baobabgap.entry._active_job import ActiveJob
from baobabgap.entry._active_job import PendingTask
from baobabgap.entry._balancer import Balancer
from baobabgap.entry._outstanding import OutstandingTasks
from baobabgap.entry._queueing_placement import QueueingPlacement
from baobabgap.entry._run_times import RunTimes
from baobabgap.entry._token_pool import AgentTokens
from baobabgap.entry._token_pool import TokenPool
from baobabgap.entry._upstream_watch import UpstreamWatch
from baobabgap.entry._waiting_queue import WaitingQueue
from baobabgap.jobs import FailureCode
from baobabgap.jobs import JobAnswer
from baobabgap.jobs import JobFailure
from baobabgap.jobs import Ran
from baobabgap.messages import AcknowledgeResults
from baobabgap.messages import CancelJobs
from baobabgap.messages import EntryState
from baobabgap.messages import PlaceTasks
from baobabgap.messages import ResumeTasks
from baobabgap.messages import SlotGrant
from baobabgap.messages import TaskOutcome
from baobabgap.messages import TaskPlacement
from baobabgap.messages import TaskResult
from baobabgap.messages import TaskResults
from baobabgap.messages import TokenTransfer
from baobabgap.messages import UpstreamLoad
from baobabgap.messages import UpstreamOffer
from baobabgap.settings import EntrySettings
from baobabgap.telemetry import Metrics
from baobabgap.transport import Connection

_MOST_HELD_BACK: Final = 32
# Agents count epochs from 1 on.
_VOID_EPOCH: Final = 0


class Dispatcher:
    """The active jobs of one entry, from claim to answer."""

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
        self.balancer: Final = Balancer(self.pool)
        self.run_times: Final = RunTimes()
        self.changed: Final = threading.Event()
        self._settings = settings
        self._availability_zone = availability_zone
        self._incarnation = incarnation
        self._metrics = metrics
        self._on_end = on_end
        self._configuration = Configuration.from_state(0, {})
        self._queue = WaitingQueue()
        self._job_by_identifier: dict[str, ActiveJob] = {}
        self._outstanding = OutstandingTasks()
        self._queueing = QueueingPlacement()
        self._watch = UpstreamWatch(settings.suspension_s)
        self._link_by_agent: dict[str, Connection] = {}
        self._unacknowledged_by_agent: dict[str, list[tuple[str, str]]] = {}
        self._waiting_work_ms = 0.0

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._configuration

    def set_configuration(self, configuration: Configuration) -> None:
        """Put a new configuration in force."""
        with self.lock:
            self._configuration = configuration
            self._dispatch()

    def active_jobs(self) -> int:
        """Count the jobs that have not ended."""
        return len(self._job_by_identifier)

    def find(self, identifier: str) -> ActiveJob | None:
        """Return an active job, or None."""
        return self._job_by_identifier.get(identifier)

    def outstanding_work_ms(self) -> float:
        """Return the expected run time of all waiting and placed tasks."""
        return self._waiting_work_ms + self._outstanding.work_ms

    # Jobs

    def add(self, job: ActiveJob) -> None:
        """Take in a job whose claim is still to be committed."""
        with self.lock:
            self._job_by_identifier[job.identifier] = job
            self._waiting_work_ms += sum(
                task.expected_ms for task in job.waiting
            )

    def release(self, job: ActiveJob) -> bool:
        """Let the tasks of a job start, now that its claim is committed.

        False if the job has ended meanwhile.
        """
        with self.lock:
            if job.ended:
                return False
            job.log.event('claimed')
            self._queue.add(job, self._configuration.policy)
            self._dispatch()
            return True

    def withdraw(self, job: ActiveJob) -> bool:
        """Drop a job without an answer, whose claim was not granted.

        False if it has ended already.
        """
        with self.lock:
            if job.ended:
                return False
            self._close(job)
            job.log.finish('not_owned')
            return True

    def fail(self, job: ActiveJob, failure: JobFailure) -> bool:
        """End a job with a failure and stop what is left of it.

        False if it has ended already.
        """
        with self.lock:
            if job.ended:
                return False
            agents = job.agents()
            self._close(job)
            for agent in agents:
                self._send(agent, CancelJobs((job.identifier,)))
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
        """Use a new link to an agent, and ask what became of its tasks."""
        agent = link.peer.name
        with self.lock:
            self._link_by_agent[agent] = link
            self._watch.forget(agent)
            is_near = link.peer.availability_zone == self._availability_zone
            self.pool.add(agent, link.peer.incarnation, is_near)
            outstanding = self._outstanding.link_returned(agent)
            for incarnation, tasks in outstanding.items():
                link.send(ResumeTasks(incarnation, tuple(tasks)))

    def agent_down(self, link: Connection) -> None:
        """Give up a lost link; its tasks wait for the agent's return."""
        agent = link.peer.name
        with self.lock:
            if self._link_by_agent.get(agent) is not link:
                return
            del self._link_by_agent[agent]
            self._unacknowledged_by_agent.pop(agent, None)
            self.pool.remove(agent)
            self._queueing.forget(agent)
            self._outstanding.link_lost(agent, time.monotonic())

    def take_offer(self, link: Connection, offer: UpstreamOffer) -> None:
        """Take in what an agent's upstream can do from now on."""
        with self.lock:
            if self._is_current(link):
                self.pool.set_offer(link.peer.name, offer)
                self._dispatch()

    def take_grant(self, link: Connection, grant: SlotGrant) -> None:
        """Take in the tokens that an agent granted."""
        with self.lock:
            if not self._is_current(link):
                return
            if not self.pool.set_grant(
                link.peer.name, grant.epoch, grant.tokens
            ):
                self._count_wasted('old_grant')
            self._dispatch()

    def take_load(self, link: Connection, load: UpstreamLoad) -> None:
        """Take in a load report, for the baseline policies."""
        with self.lock:
            self._queueing.hear(link.peer.name, load)

    def take_results(self, link: Connection, message: TaskResults) -> None:
        """Take in results, and spend the tokens that came with them."""
        agent = link.peer.name
        with self.lock:
            for result in message.results:
                unacknowledged = self._unacknowledged_by_agent.setdefault(
                    agent, []
                )
                unacknowledged.append((result.job, result.task))
                self._take_result(agent, result)
            self._dispatch()

    def _take_result(self, agent: str, result: TaskResult) -> None:
        is_token_back = result.token_returns and self.pool.give_back(
            agent, result.epoch
        )
        task = self._outstanding.remove(agent, result.job, result.task)
        job = self._job_by_identifier.get(result.job)
        if task is None or job is None:
            if not is_token_back:
                self._count_wasted('late_result')
            return
        match result.outcome:
            case TaskOutcome.DONE:
                self._take_value(agent, job, task, result)
            case TaskOutcome.NOT_STARTED:
                self._move(agent, job, result)
            case TaskOutcome.FAILED:
                self._fail_task(job, result, agent, FailureCode.TASK_FAILED)
            case TaskOutcome.LOST:
                self._fail_task(job, result, agent, FailureCode.TASK_LOST)

    def _take_value(
        self,
        agent: str,
        job: ActiveJob,
        task: PendingTask,
        result: TaskResult,
    ) -> None:
        client = job.client
        self._end_try(agent, job, task, result.run_time_ms)
        if not self._watch.is_suspended(agent):
            kind = task.submission.kind
            self.run_times.learn(client, kind, result.run_time_ms)
        job.record_value(result.task, result.value)
        if job.is_complete():
            self._close(job)
            self._answer(job, job.whole_answer())

    def _end_try(
        self, agent: str, job: ActiveJob, task: PendingTask, run_ms: float
    ) -> None:
        limit_ms = self.run_times.overdue_ms(job.client, task.submission)
        was_slow = limit_ms is not None and run_ms > limit_ms
        if self._watch.end_try(agent, was_slow, time.monotonic()):
            if self.pool.get(agent) is not None:
                self.pool.suspend(agent, False)

    def _move(self, agent: str, job: ActiveJob, result: TaskResult) -> None:
        task = job.take_back(result.task)
        if task is None:
            return
        self._metrics.count('baobabgap_tasks_moved_total')
        # The agent keeps its answer until it is acknowledged, and the task
        # may go to the same agent again.
        self._acknowledge(agent)
        self._waiting_work_ms += task.expected_ms
        self._queue.add(job, self._configuration.policy)

    def _fail_task(
        self,
        job: ActiveJob,
        result: TaskResult,
        agent: str,
        code: FailureCode,
    ) -> None:
        lost = code is FailureCode.TASK_LOST
        failure = JobFailure(
            code=code,
            message=f'task {result.task}: {result.value}',
            step='run',
            peer=agent,
            ran=Ran.UNKNOWN if lost and not job.value_by_task else Ran.YES,
        )
        job.placed_by_task.pop(result.task, None)
        self.fail(job, failure)

    # Placement

    def take_transfer(self, transfer: TokenTransfer) -> None:
        """Take in tokens from a peer entry."""
        with self.lock:
            if not self.pool.accept_transfer(transfer):
                self._count_wasted('void_transfer')
            self._dispatch()

    def take_peer_state(self, link: Connection, state: EntryState) -> None:
        """Take in how a peer entry is doing, and share tokens with it."""
        with self.lock:
            self.balancer.hear(link, state, time.monotonic())
            self._dispatch()

    def state(self, now: float) -> EntryState:
        """Describe this entry to its peers."""
        head_at = self._queue.head_urgency()
        return EntryState(
            backlog_tasks=self._queue.waiting_tasks(),
            head_slack_ms=0.0 if head_at is None else (head_at - now) * 1000,
            idle_tokens=self.pool.idle_tokens(),
            outstanding_work_ms=self.outstanding_work_ms(),
        )

    def _dispatch(self) -> None:
        """Place as many waiting tasks as there are tokens for."""
        now = time.monotonic()
        tasks_by_place: dict[tuple[str, str], list[PendingTask]] = {}
        held_back: list[ActiveJob] = []
        while len(held_back) < _MOST_HELD_BACK and self._can_place():
            head_at = self._queue.head_urgency()
            if head_at is None:
                break
            if self.balancer.yield_to_urgent_peer(head_at):
                continue
            job = self._queue.pop()
            if job is None:
                break
            if not self._place_waiting(job, tasks_by_place, now):
                held_back.append(job)
        for job in held_back:
            self._queue.add(job, self._configuration.policy)
        self._send_placements(tasks_by_place, now)
        if self._queue.head_urgency() is None:
            self.balancer.share_idle(self._configuration.policy)
        self.changed.set()

    def _can_place(self) -> bool:
        if self._configuration.policy.placement is PlacementPolicy.TOKENS:
            return self.pool.idle_tokens() > 0
        return len(self.pool) > 0

    def _place_waiting(
        self,
        job: ActiveJob,
        tasks_by_place: dict[tuple[str, str], list[PendingTask]],
        now: float,
    ) -> bool:
        """Place a job's waiting tasks; False if some still wait."""
        while job.waiting:
            tokens = self._choose(job.waiting[-1])
            if tokens is None:
                return False
            task = self._place_next(job, tokens, now)
            place = (tokens.agent, job.identifier)
            tasks_by_place.setdefault(place, []).append(task)
        return True

    def _place_next(
        self, job: ActiveJob, tokens: AgentTokens, now: float
    ) -> PendingTask:
        task = job.place_next(tokens.agent, tokens.incarnation, now)
        self._waiting_work_ms -= task.expected_ms
        self._outstanding.add(tokens.agent, job, task)
        return task

    def _choose(self, task: PendingTask) -> AgentTokens | None:
        policy = self._configuration.policy.placement
        size = task.submission.size
        if policy is PlacementPolicy.TOKENS:
            return self.pool.spend(size)
        return self._queueing.choose(policy, self.pool, size)

    def _send_placements(
        self,
        tasks_by_place: dict[tuple[str, str], list[PendingTask]],
        now: float,
    ) -> None:
        agents_by_job: dict[str, dict[str, int]] = {}
        for (agent, identifier), tasks in tasks_by_place.items():
            job = self._job_by_identifier[identifier]
            self._metrics.count('baobabgap_tasks_placed_total', len(tasks))
            epoch = self._epoch_for(agent)
            placement = self._placement(job, tasks, epoch, now)
            self._send(agent, placement)
            agents_by_job.setdefault(identifier, {})[agent] = len(tasks)
        for identifier, tasks_by_agent in agents_by_job.items():
            job = self._job_by_identifier[identifier]
            job.log.event('placed', tasks_by_agent=tasks_by_agent)

    def _epoch_for(self, agent: str) -> int:
        """Return the epoch of the token that was spent, or a void one."""
        tokens = self.pool.get(agent)
        policy = self._configuration.policy
        if tokens is None or policy.placement is not PlacementPolicy.TOKENS:
            return _VOID_EPOCH
        return tokens.epoch

    def _placement(
        self,
        job: ActiveJob,
        tasks: list[PendingTask],
        epoch: int,
        now: float,
    ) -> PlaceTasks:
        return PlaceTasks(
            job=job.identifier,
            owner_incarnation=self._incarnation,
            agent_incarnation=tasks[0].agent_incarnation,
            epoch=epoch,
            deadline_ms=max(int((job.deadline_at - now) * 1000), 0),
            tasks=tuple(
                TaskPlacement(
                    task.submission.identifier,
                    task.submission.kind,
                    task.submission.payload,
                    task.submission.size,
                )
                for task in tasks
            ),
            log_action=job.log.new_branch(),
        )

    # Regular checks

    def acknowledge_results(self) -> None:
        """Tell the agents which results need not be kept any more."""
        with self.lock:
            for agent in list(self._unacknowledged_by_agent):
                self._acknowledge(agent)

    def _acknowledge(self, agent: str) -> None:
        tasks = self._unacknowledged_by_agent.pop(agent, [])
        if tasks:
            self._send(agent, AcknowledgeResults(tuple(tasks)))

    def expire(self, now: float) -> float:
        """Fail jobs that can't meet their deadline any more.

        Returns the monotonic time of the next deadline.
        """
        next_deadline = math.inf
        with self.lock:
            for job in list(self._job_by_identifier.values()):
                if _is_hopeless(job, now):
                    self.fail(job, self._deadline_failure(job))
                else:
                    next_deadline = min(next_deadline, job.deadline_at)
        return next_deadline

    def _deadline_failure(self, job: ActiveJob) -> JobFailure:
        ran = job.ran
        waiting_s = self.outstanding_work_ms() / 1000
        slots = max(self.pool.accepting_slots(), 1)
        return JobFailure(
            code=FailureCode.DEADLINE,
            message='the job cannot be answered by its deadline',
            step='wait' if ran is Ran.NO else 'run',
            peer=', '.join(sorted(job.agents())[:3]),
            ran=ran,
            retry_after_s=waiting_s / slots if ran is Ran.NO else 0.0,
        )

    def give_up_on_lost_agents(self, now: float) -> None:
        """Fail jobs with tasks on agents that have not come back."""
        limit_s = self._settings.agent_return_s
        with self.lock:
            for agent, job, task in self._outstanding.take_lost(now - limit_s):
                failure = JobFailure(
                    code=FailureCode.TASK_LOST,
                    message=(
                        f'task {task.submission.identifier}: no link to its '
                        f'agent for {limit_s} s'
                    ),
                    step='run',
                    peer=agent,
                    ran=Ran.YES if job.value_by_task else Ran.UNKNOWN,
                )
                self.fail(job, failure)

    def watch_upstreams(self, now: float) -> None:
        """Avoid upstreams on which most tasks are overdue."""
        with self.lock:
            if self._queues_at_agents():
                return
            for tokens in list(self.pool):
                agent = tokens.agent
                overdue, outstanding = self._outstanding.count_overdue(
                    agent, self.run_times, now
                )
                if self._watch.judge(
                    agent, overdue, outstanding, len(self.pool), now
                ):
                    self._metrics.count('baobabgap_upstreams_suspended_total')
                    self.pool.suspend(agent, True)
            for agent in self._watch.due_for_try(now):
                self._try_suspended(agent, now)

    def _queues_at_agents(self) -> bool:
        """Tell whether a late task may just have waited at its agent."""
        placement = self._configuration.policy.placement
        return placement is not PlacementPolicy.TOKENS

    def _try_suspended(self, agent: str, now: float) -> None:
        job = self._queue.pop()
        if job is None:
            return
        tokens = self.pool.spend_at(agent, job.waiting[-1].submission.size)
        if tokens is not None:
            task = self._place_next(job, tokens, now)
            self._watch.start_try(agent)
            self._send_placements({(agent, job.identifier): [task]}, now)
        if job.waiting:
            self._queue.add(job, self._configuration.policy)

    def _is_current(self, link: Connection) -> bool:
        return self._link_by_agent.get(link.peer.name) is link

    def _send(self, agent: str, message: object) -> None:
        link = self._link_by_agent.get(agent)
        if link is not None:
            link.send(message)

    def _count_wasted(self, kind: str) -> None:
        self._metrics.count(
            f'baobabgap_wasted_messages_total{{kind="{kind}"}}'
        )


def _is_hopeless(job: ActiveJob, now: float) -> bool:
    """Tell whether a job's deadline has passed, or surely will.

    A job of which nothing has started is given up as soon as half the
    expected run time of its longest task no longer fits, so that the
    client hears of it while it can still do something else.
    """
    if now >= job.deadline_at:
        return True
    needed_s = job.longest_expected_ms / 2000
    return job.ran is Ran.NO and now + needed_s >= job.deadline_at
