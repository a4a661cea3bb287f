"""Places the tasks of claimed jobs on upstreams and gathers the results.

All state of the entry's active jobs, waiting queue and tokens is behind
one lock; nothing done under it waits for a peer, since sending on a link
only queues.
"""

from collections.abc import Callable
import threading
import time
from typing import Final

from baobabgap.configuration import Configuration
from baobabgap.entry._active_job import ActiveJob
from baobabgap.entry._active_job import PendingTask
from baobabgap.entry._agent_links import AgentLinks
from baobabgap.entry._balancer import Balancer
from baobabgap.entry._deadlines import Deadlines
from baobabgap.entry._failures import out_of_time
from baobabgap.entry._failures import task_failed
from baobabgap.entry._failures import task_lost
from baobabgap.entry._outstanding import OutstandingTasks
from baobabgap.entry._placer import Placer
from baobabgap.entry._placer import uses_tokens
from baobabgap.entry._run_times import RunTimes
from baobabgap.entry._token_pool import TokenPool
from baobabgap.entry._upstream_watch import UpstreamWatch
from baobabgap.entry._waiting_queue import WaitingQueue
from baobabgap.jobs import JobAnswer
from baobabgap.jobs import JobFailure
from baobabgap.messages import CancelJobs
from baobabgap.messages import EntryState
from baobabgap.messages import ResumeTasks
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

_MOST_HELD_BACK: Final = 32


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
        self._metrics = metrics
        self._on_end = on_end
        self._configuration = Configuration.from_state(0, {})
        self._has_heard_configuration = False
        self._queue = WaitingQueue()
        self._job_by_identifier: dict[str, ActiveJob] = {}
        self._deadlines = Deadlines()
        self._outstanding = OutstandingTasks()
        self._links = AgentLinks()
        self._placer = Placer(
            self.pool, self._links, self._outstanding, incarnation, metrics
        )
        self._watch = UpstreamWatch(settings.suspension_s)
        self._waiting_work_ms = 0.0

    @property
    def configuration(self) -> Configuration:
        """The configuration in force; the defaults until one is heard."""
        return self._configuration

    @property
    def has_heard_configuration(self) -> bool:
        """Whether the control group has told what is in force."""
        return self._has_heard_configuration

    def set_configuration(self, configuration: Configuration) -> None:
        """Put a new configuration in force."""
        with self.lock:
            self._configuration = configuration
            self._has_heard_configuration = True
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

    def expected_wait_ms(self) -> float:
        """Return how long a new task would wait for a slot.

        Tasks that run are taken to be half done; the peers' work is taken
        to be made up like this entry's own.
        """
        own_ms = self.outstanding_work_ms()
        if self.pool.idle_tokens() > 0 or own_ms <= 0:
            return 0.0
        placed_share = self._outstanding.work_ms / own_ms
        all_ms = own_ms + self.balancer.peers_work_ms()
        left_ms = all_ms * (1 - placed_share / 2)
        return left_ms / max(self.pool.accepting_slots(), 1)

    # Jobs

    def add(self, job: ActiveJob) -> None:
        """Take in a job whose claim is still to be committed."""
        with self.lock:
            self._job_by_identifier[job.identifier] = job
            self._deadlines.add(job)
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
                self._links.send(agent, CancelJobs((job.identifier,)))
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
            self._links.add(link)
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
            if not self._links.remove(link):
                return
            self.pool.remove(agent)
            self._placer.forget(agent)
            self._outstanding.link_lost(agent, time.monotonic())

    def take_offer(self, link: Connection, offer: UpstreamOffer) -> None:
        """Take in what an agent's upstream can do from now on."""
        with self.lock:
            if self._links.is_current(link):
                self.pool.set_offer(link.peer.name, offer)
                self._dispatch()

    def take_grant(self, link: Connection, grant: SlotGrant) -> None:
        """Take in the tokens that an agent granted."""
        with self.lock:
            if not self._links.is_current(link):
                return
            if not self.pool.set_grant(
                link.peer.name, grant.epoch, grant.tokens
            ):
                self._count_wasted('old_grant')
            self._dispatch()

    def take_load(self, link: Connection, load: UpstreamLoad) -> None:
        """Take in a load report, for the baseline policies."""
        with self.lock:
            self._placer.hear_load(link.peer.name, load)

    def take_results(self, link: Connection, message: TaskResults) -> None:
        """Take in results, and spend the tokens that came with them."""
        agent = link.peer.name
        with self.lock:
            for result in message.results:
                self._links.note_result(agent, result.job, result.task)
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
                job.placed_by_task.pop(result.task, None)
                self.fail(job, task_failed(result, agent))
            case TaskOutcome.LOST:
                job.placed_by_task.pop(result.task, None)
                why = str(result.value)
                self.fail(job, task_lost(job, result.task, agent, why))

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
        self._links.acknowledge(agent)
        self._waiting_work_ms += task.expected_ms
        self._queue.add(job, self._configuration.policy)

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
        policy = self._configuration.policy
        held_back: list[ActiveJob] = []
        while len(held_back) < _MOST_HELD_BACK:
            if not self._placer.can_place(policy):
                break
            head_at = self._queue.head_urgency()
            if head_at is None:
                break
            if self.balancer.yield_to_urgent_peer(head_at):
                continue
            job = self._queue.pop()
            if job is None:
                break
            self._waiting_work_ms -= self._placer.place(job, policy, now)
            if job.waiting:
                held_back.append(job)
        for job in held_back:
            self._queue.add(job, policy)
        self._placer.flush(policy, now)
        if self._queue.head_urgency() is None:
            self.balancer.share_idle(policy)
        self.changed.set()

    # Regular checks

    def acknowledge_results(self) -> None:
        """Tell the agents which results need not be kept any more."""
        with self.lock:
            self._links.acknowledge_all()

    def expire(self, now: float) -> float:
        """Fail jobs that can't meet their deadline any more.

        Returns the monotonic time at which to look again.
        """
        with self.lock:
            for job in self._deadlines.take_due(now):
                self.fail(job, out_of_time(job, self._drain_s()))
            return self._deadlines.next_at()

    def _drain_s(self) -> float:
        """Return the seconds in which the present work will be done."""
        slots = max(self.pool.accepting_slots(), 1)
        return self.outstanding_work_ms() / 1000 / slots

    def give_up_on_lost_agents(self, now: float) -> None:
        """Fail jobs with tasks on agents that have not come back."""
        limit_s = self._settings.agent_return_s
        why = f'no link to its agent for {limit_s} s'
        with self.lock:
            for agent, job, task in self._outstanding.take_lost(now - limit_s):
                identifier = task.submission.identifier
                self.fail(job, task_lost(job, identifier, agent, why))

    def watch_upstreams(self, now: float) -> None:
        """Avoid upstreams on which most tasks are overdue."""
        with self.lock:
            if not uses_tokens(self._configuration.policy):
                # A late task may just have waited at its agent.
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

    def _try_suspended(self, agent: str, now: float) -> None:
        job = self._queue.pop()
        if job is None:
            return
        placed_ms = self._placer.place_one_at(agent, job, now)
        if placed_ms is not None:
            self._waiting_work_ms -= placed_ms
            self._watch.start_try(agent)
            self._placer.flush(self._configuration.policy, now)
        if job.waiting:
            self._queue.add(job, self._configuration.policy)

    def _count_wasted(self, kind: str) -> None:
        self._metrics.count(
            f'baobabgap_wasted_messages_total{{kind="{kind}"}}'
        )
