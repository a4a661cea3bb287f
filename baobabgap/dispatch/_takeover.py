"""The period after an election in which runs of earlier terms may exist."""

from collections.abc import Iterable

from baobabgap.jobmodel import AcceptedJob
from baobabgap.protocol import AGENT_ROLE
from baobabgap.protocol import ENTRY_ROLE
from baobabgap.telemetry import log_event


class Takeover:
    """Decides which jobs can't have a run of an earlier term.

    A takeover lasts until every known agent has reported, or until all
    authority granted by earlier leaders has lapsed. Meanwhile a volatile
    job may start if every known entry has reported which jobs it sent to
    earlier leaders and this job is not among them.
    """

    def __init__(
        self,
        term: int,
        members: Iterable[str],
        ends_at: float,
        inherited_ids: Iterable[str] = (),
    ) -> None:
        self._term = term
        # Stored jobs that were accepted before; also in this term, if it
        # begins again after a failure.
        self._inherited_ids = frozenset(inherited_ids)
        self._unreported_agents = _names_with_role(AGENT_ROLE, members)
        self._unreported_entries = _names_with_role(ENTRY_ROLE, members)
        # Volatile jobs that an earlier leader may have begun.
        self._begun_before: set[str] = set()
        self._ends_at = ends_at
        self._is_over = False

    @classmethod
    def none(cls) -> 'Takeover':
        """Return a placeholder for a host that doesn't lead."""
        return cls(0, (), float('-inf'))

    def note_agent_report(self, name: str) -> None:
        """Record that an agent has reported or its lease has lapsed."""
        self._unreported_agents.discard(name)

    def note_entry_report(
        self, entry: str, begun_job_ids: Iterable[str]
    ) -> None:
        """Record the jobs that an entry sent to earlier leaders.

        `entry` is the entry as `name/incarnation`.
        """
        self._unreported_entries.discard(entry)
        if not self._is_over:
            self._begun_before.update(begun_job_ids)

    def awaits_agent(self, name: str) -> bool:
        """Return whether the takeover waits for an agent's report."""
        return not self._is_over and name in self._unreported_agents

    @property
    def unreported_agents(self) -> frozenset[str]:
        """The agents that the takeover waits for."""
        return frozenset(self._unreported_agents)

    @property
    def unreported_entries(self) -> frozenset[str]:
        """The entries, as `name/incarnation`, that haven't reported."""
        return frozenset(self._unreported_entries)

    def may_have_begun(self, job_id: str) -> bool:
        """Return whether an entry sent this job to an earlier leader."""
        return job_id in self._begun_before

    def may_start(self, job: AcceptedJob) -> bool:
        """Return whether the job can't have a run of an earlier term."""
        if self._is_over:
            return True
        if job.is_volatile:
            return not self._unreported_entries and not self.may_have_begun(
                job.job_id
            )
        return job.term == self._term and job.job_id not in self._inherited_ids

    @property
    def is_over(self) -> bool:
        """Return whether all jobs may start."""
        return self._is_over

    def end_if_due(self, now: float) -> bool:
        """End the takeover if due; return whether this call ended it."""
        if self._is_over or (self._unreported_agents and now < self._ends_at):
            return False
        self._is_over = True
        self._begun_before = set()
        self._inherited_ids = frozenset()
        log_event(
            'takeover_ended',
            term=self._term,
            unheard=sorted(self._unreported_agents),
            unheard_entries=sorted(self._unreported_entries),
        )
        return True


def _names_with_role(role: str, members: Iterable[str]) -> set[str]:
    """Return the names of the members with a role, without the role."""
    prefix = f'{role}/'
    return {
        member.removeprefix(prefix)
        for member in members
        if member.startswith(prefix)
    }
