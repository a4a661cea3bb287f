"""Tests of links that stop carrying bytes without being closed.

Such a link reports no error: a request on it would wait for its answer
until the deadline, and the member would stay connected to no host.
"""

from dataclasses import replace

from baobabgap.control.tests._group import claim
from baobabgap.control.tests._group import GroupTest
from baobabgap.control.tests._group import Member
from baobabgap.control.tests._group import WAIT_LIMIT_S
from baobabgap.control.tests._silenceable_relay import SilenceableRelay
from baobabgap.messages import ClaimStatus
from baobabgap.settings import ControlHost


class SilentLinkTest(GroupTest):
    def relayed_member(self, name: str) -> tuple[SilenceableRelay, Member]:
        host = self.host_by_name['control-1']
        relay = SilenceableRelay(host.internal_port)
        self.addCleanup(relay.close)
        settings = replace(
            self.settings,
            control_hosts=(ControlHost('relayed', '127.0.0.1', relay.port),),
        )
        # An entry would follow the leader hint and bypass the relay.
        member = self.member('agent', name, '', settings)
        self.wait_until(
            lambda: member.client.version > 0, 'the member has joined'
        )
        return relay, member

    def test_claim_is_answered_after_the_link_goes_silent(self) -> None:
        cases = [
            ('both directions', True, True),
            ('requests are lost', True, False),
            ('answers are lost', False, True),
        ]
        for name, to_host, to_member in cases:
            with self.subTest(name):
                label = name.split()[0]
                relay, member = self.relayed_member(f'agent-{label}')
                relay.silence(to_host=to_host, to_member=to_member)
                future = member.client.claim(claim(f'kurek.5.{label}'))
                outcome = future.result(WAIT_LIMIT_S)
                self.assertIs(outcome.status, ClaimStatus.GRANTED)

    def test_silent_member_that_reconnects_is_alive_again(self) -> None:
        watcher = self.member('entry', 'entry-1')
        relay, member = self.relayed_member('agent-1')
        relay.silence()
        self.wait_until(
            lambda: not member.client.is_connected, 'the silent link is closed'
        )
        self.wait_until(
            lambda: member.client.is_connected, 'the member has a new link'
        )
        self.pause(1.0)
        self.wait_until(
            lambda: watcher.alive_by_name.get('agent-1', False),
            'the member counts as alive',
        )

    def test_stop_fails_unanswered_requests(self) -> None:
        relay, member = self.relayed_member('agent-1')
        relay.silence()
        future = member.client.claim(claim('kurek.5.n'))
        member.client.stop()
        self.assertFalse(getattr(future.exception(1.0), 'unchanged', None))
