"""Tests of the codec: round trips and malformed frames."""

import unittest

import cbor2

from baobabgap import ProtocolMismatch
from baobabgap.jobs import TaskSize
from baobabgap.messages import decode
from baobabgap.messages import encode
from baobabgap.messages import PlaceTasks
from baobabgap.messages import register
from baobabgap.messages import SlotGrant
from baobabgap.messages import TaskPlacement


class TestCodec(unittest.TestCase):
    """A received frame decodes to typed messages or raises an error.

    Sessions handle only errors of the package; any other exception from a
    malformed frame would end the receiving task.
    """

    def test_round_trip(self) -> None:
        placement = PlaceTasks(
            job='kurek.1.a',
            owner_incarnation='i',
            agent_incarnation='g',
            epoch=3,
            deadline_ms=900,
            tasks=(
                TaskPlacement('t', 'seat', {'crew': [1, 2]}, TaskSize(1.5)),
            ),
        )
        messages = [placement, SlotGrant(1, 2)]
        self.assertEqual(messages, decode(encode(messages), peer='p'))

    def test_malformed_frames_raise_protocol_mismatch(self) -> None:
        cases = {
            'no cbor': b'\xff\xff\xff',
            'empty': b'',
            'no array': cbor2.dumps({'a': 1}),
            'no pair': cbor2.dumps([1]),
            'unknown name': cbor2.dumps([['Nothing', {}]]),
            'missing field': cbor2.dumps([['SlotGrant', {'epoch': 1}]]),
            'wrong type': cbor2.dumps(
                [['SlotGrant', {'epoch': 'x', 'tokens': 1}]]
            ),
        }
        for name, frame in cases.items():
            with self.subTest(name):
                with self.assertRaises(ProtocolMismatch) as caught:
                    decode(frame, peer='agent-7')
                self.assertEqual('agent-7', caught.exception.peer)
                self.assertEqual('decode', caught.exception.step)

    def test_second_class_of_a_name_is_refused(self) -> None:
        """Guards against a class that replaces one of the same name.

        The codec then decoded the messages of the first class as the
        second one.
        """
        duplicate = type('SlotGrant', (), {})
        with self.assertRaisesRegex(ValueError, 'registered by'):
            register(duplicate)
        self.assertIsInstance(
            decode(encode([SlotGrant(1, 2)]), peer='a')[0], SlotGrant
        )
