"""Tests of joins that reach an owner after their job was replaced."""

from collections.abc import Iterator
from concurrent.futures import Future
import unittest

from baobabgap.entry._quota_ledger import QuotaLedger
from baobabgap.entry._sessions import PeerSessions
from baobabgap.entry.tests.fakes import FakeEntry
from baobabgap.entry.tests.fakes import FakeLink
from baobabgap.entry.tests.fakes import job
from baobabgap.jobs import FailureCode
from baobabgap.jobs import JobAnswer
from baobabgap.jobs import Ran
from baobabgap.messages import ClaimStatus
from baobabgap.messages import JoinedAnswer
from baobabgap.messages import JoinJob
from baobabgap.messages import PlaceTasks


class _LinkWithMessages(FakeLink):
    """A link that delivers some messages and then ends."""

    def __init__(self, received: list[JoinJob]) -> None:
        super().__init__('entry-1', 'entry')
        self._received = received

    def messages(self) -> Iterator[JoinJob]:
        return iter(self._received)


class LateJoinsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.owner = FakeEntry()
        self.agent = self.owner.add_agent('a', 4, tokens=0)
        self.sessions = PeerSessions(
            self.owner.dispatcher,
            self.owner.submissions,
            self.owner.joins,
            QuotaLedger(),
        )
        self.other = FakeEntry()
        self.other.add_agent('a', 4)

    def test_join_of_a_refused_job_gets_no_answer_of_its_successor(
        self,
    ) -> None:
        """The successor has other content under the same identifier."""
        self.owner.submit(job(tasks=1))
        link = self.other.add_peer('entry-2')
        joined = self.other.submissions.submit(job(tasks=1), '')
        self.other.control.settle_claim(ClaimStatus.OWNED, 'entry-2')
        requests = link.pop_sent(JoinJob)
        refused = self.owner.submissions.cancel('kurek.1.a').result(1)
        assert refused.failure is not None
        self.assertEqual(Ran.NO, refused.failure.ran)
        self.owner.submit(job(tasks=2))
        self._run_all()
        failure = self._deliver(requests, joined).failure
        assert failure is not None
        self.assertEqual(
            (FailureCode.OWNER_LOST, Ran.UNKNOWN), (failure.code, failure.ran)
        )

    def test_join_gets_the_answer_of_a_job_with_its_content(self) -> None:
        """A fetch, which has no content, gets the answer, too."""
        self.owner.submit(job(tasks=2))
        link = self.other.add_peer('entry-2')
        joined = self.other.submissions.submit(job(tasks=2), '')
        self.other.control.settle_claim(ClaimStatus.OWNED, 'entry-2')
        fetched = self.other.submissions.fetch('kurek.1.a')
        self.other.control.settle_lookup(ClaimStatus.OWNED, 'entry-2')
        requests = link.pop_sent(JoinJob)
        self._run_all()
        self.assertTrue(self._deliver(requests, joined).has_all_values)
        self.assertTrue(fetched.result(1).has_all_values)

    def _run_all(self) -> None:
        self.owner.dispatcher.pool.set_grant('a', 2, 4)
        self.owner.dispatcher.set_configuration(
            self.owner.dispatcher.configuration
        )
        for placed in self.agent.pop_sent(PlaceTasks):
            self.owner.finish(self.agent, placed)

    def _deliver(
        self, requests: list[JoinJob], joined: Future[JobAnswer]
    ) -> JobAnswer:
        link = _LinkWithMessages(requests)
        self.sessions.serve(link.connection)
        for answer in link.pop_sent(JoinedAnswer):
            self.other.joins.answer(answer)
        return joined.result(1)
