"""The time after an election in which older runs may be under way."""

from collections.abc import Iterable

from baobabgap.accepted import AcceptedJob
from baobabgap.dispatch._roles import AGENT_ROLE
from baobabgap.dispatch._roles import ENTRY_ROLE
from baobabgap.telemetry import log_event


class Takeover:
    """Tells which jobs can't have a run of an earlier term.

    It lasts until every known agent has reported, or until nothing that
    an earlier leader has granted can hold any more. Meanwhile a volatile
    job may start if every known entry has said which jobs it had handed
    to earlier leaders, and this isn't one of them.
    """

    def __init__(
        self, term: int, members: Iterable[str], ends_at: float
    ) -> None:
        self._term = term
        self._unheard_agents = _named(AGENT_ROLE, members)
        self._unheard_entries = _named(ENTRY_ROLE, members)
        # Volatile jobs that an earlier leader may have begun.
        self._begun_before: set[str] = set()
        self._ends_at = ends_at
        self._is_over = False

    @classmethod
    def none(cls) -> 'Takeover':
        """Return one for a host that doesn't lead."""
        return cls(0, (), float('-inf'))

    def hear_agent(self, name: str) -> None:
        """An agent has reported, or its lease has certainly lapsed."""
        self._unheard_agents.discard(name)

    def hear_entry(self, life: str, begun_job_ids: Iterable[str]) -> None:
        """A life of an entry has said what it had handed in before."""
        self._unheard_entries.discard(life)
        if not self._is_over:
            self._begun_before.update(begun_job_ids)

    def may_have_begun(self, job_id: str) -> bool:
        """Tell whether an entry has handed this job to an earlier leader."""
        return job_id in self._begun_before

    def may_start(self, job: AcceptedJob) -> bool:
        """Tell whether no run of an earlier term can be under way."""
        if self._is_over:
            return True
        if job.is_volatile:
            return not self._unheard_entries and not self.may_have_begun(
                job.job_id
            )
        return job.term == self._term

    @property
    def is_over(self) -> bool:
        """Tell whether all jobs may start."""
        return self._is_over

    def look(self, now: float) -> bool:
        """End the takeover if it is time; tell whether it has just ended."""
        if self._is_over or (self._unheard_agents and now < self._ends_at):
            return False
        self._is_over = True
        self._begun_before = set()
        log_event(
            'takeover_ended',
            term=self._term,
            unheard=sorted(self._unheard_agents),
        )
        return True


def _named(role: str, members: Iterable[str]) -> set[str]:
    """Return the names of the members with a role."""
    prefix = f'{role}/'
    return {
        member.removeprefix(prefix)
        for member in members
        if member.startswith(prefix)
    }
