"""Links of members that go silent."""

from dataclasses import replace

from baobabgap.control.tests._cut_relay import CutRelay
from baobabgap.control.tests._group import claim
from baobabgap.control.tests._group import GroupTest
from baobabgap.control.tests._group import LONGEST_WAIT_S
from baobabgap.control.tests._group import Member
from baobabgap.messages import ClaimStatus
from baobabgap.settings import ControlHost


class SilentLinkTest(GroupTest):
    def relayed_member(self, name: str) -> tuple[CutRelay, Member]:
        host = self.host_by_name['control-1']
        relay = CutRelay(host.internal_port)
        self.addCleanup(relay.close)
        settings = replace(
            self.settings,
            control_hosts=(ControlHost('relayed', '127.0.0.1', relay.port),),
        )
        # Not an entry, which would follow the hint around the relay.
        member = self.member('agent', name, '', settings)
        self.wait_until(lambda: member.client.version > 0, 'it has joined')
        return relay, member

    def test_claim_is_answered_although_the_link_goes_silent(self) -> None:
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
                outcome = future.result(LONGEST_WAIT_S)
                self.assertIs(outcome.status, ClaimStatus.GRANTED)

    def test_silent_member_that_comes_back_is_alive_again(self) -> None:
        watcher = self.member('entry', 'entry-1')
        relay, member = self.relayed_member('agent-1')
        relay.silence()
        self.wait_until(
            lambda: not member.client.is_connected, 'it gives the link up'
        )
        self.wait_until(
            lambda: member.client.is_connected, 'it has a new link'
        )
        self.pause(1.0)
        self.wait_until(
            lambda: watcher.alive_by_name.get('agent-1', False),
            'it counts as alive',
        )

    def test_stop_fails_what_is_not_answered(self) -> None:
        relay, member = self.relayed_member('agent-1')
        relay.silence()
        future = member.client.claim(claim('kurek.5.n'))
        member.client.stop()
        self.assertFalse(getattr(future.exception(1.0), 'unchanged', None))
