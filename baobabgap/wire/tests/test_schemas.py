"""Tests that plain schemas are those that pydantic would build.

Stored commands and messages of other versions must be read as before.
"""

from dataclasses import fields
from typing import Any
from typing import Final
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from pydantic import TypeAdapter
from pydantic_core import SchemaSerializer
from pydantic_core import SchemaValidator
from pydantic_core import ValidationError

from baobabgap import accepted
from baobabgap import control
from baobabgap import messages
from baobabgap import protocol
from baobabgap import queues
from baobabgap import replication
from baobabgap.jobs import TaskSize
from baobabgap.wire._codec import registered_classes
from baobabgap.wire._schemas import NotPlain
from baobabgap.wire._schemas import plain_schema

# Values that some field types accept, convert or refuse.
_ODD_VALUES: Final[tuple[Any, ...]] = (
    None, True, -1, 2**70, 1.0, 1.5, '', '7', 'done', 'failed', b'\xff', [],
    ['a'], [1, 2], [[1, 2, 3]], {}, {'a': 1}, {1: 2}, [{}], [None],
)  # fmt: skip


def _outcome(validator: Any, value: object) -> object:
    """Return the validated value, or the errors as comparable data."""
    try:
        return validator.validate_python(value)
    except ValidationError as error:
        return error.errors(include_url=False)


class PlainSchemasTest(unittest.TestCase):
    def setUp(self) -> None:
        # These packages register their messages when they are imported.
        self.assertTrue(
            accepted
            and control
            and messages
            and protocol
            and queues
            and replication
        )

    def test_only_messages_with_limits_need_pydantic(self) -> None:
        refused = set()
        for message_class in registered_classes():
            try:
                plain_schema(message_class)
            except NotPlain:
                refused.add(message_class.__name__)
        self.assertEqual(
            {'PlaceTasks', 'TaskPlacement', 'UpstreamOffer'}, refused
        )
        with self.assertRaises(NotPlain):
            plain_schema(TaskSize)

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(data=strategies.data())
    def test_same_as_pydantic(self, data: strategies.DataObject) -> None:
        classes = sorted(registered_classes(), key=lambda each: each.__name__)
        message_class = data.draw(strategies.sampled_from(classes))
        try:
            schema = plain_schema(message_class)
        except NotPlain:
            return
        adapter: TypeAdapter[Any] = TypeAdapter(message_class)
        serializer = SchemaSerializer(schema)
        validator = SchemaValidator(schema)
        document: dict[str, Any] = {}
        # Some of the standalone messages hold any JSON, which has no strategy.
        if not message_class.__module__.startswith('baobabgap.messages'):
            message = data.draw(strategies.from_type(message_class))
            document = adapter.dump_python(message)
            self.assertEqual(document, serializer.to_python(message))
            self.assertEqual(message, validator.validate_python(document))
        for field in fields(message_class):
            for odd_value in _ODD_VALUES:
                changed = {**document, field.name: odd_value}
                self.assertEqual(
                    _outcome(adapter, changed), _outcome(validator, changed)
                )
            without = dict(document)
            without.pop(field.name, None)
            self.assertEqual(
                _outcome(adapter, without), _outcome(validator, without)
            )


if __name__ == '__main__':
    unittest.main()
