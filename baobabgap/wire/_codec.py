"""Encodes typed messages into CBOR frames and decodes them.

A frame is a CBOR array of messages; each message is an array of the
name of its data class and a map of its fields. Messages that are queued
at the same time share a frame.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from typing import Final

import cbor2
from pydantic_core import SchemaSerializer
from pydantic_core import SchemaValidator
from pydantic_core import ValidationError

from baobabgap._exceptions import ProtocolMismatch
from baobabgap.wire._schemas import NotPlain
from baobabgap.wire._schemas import plain_schema

PROTOCOL_VERSION: Final = 1
MAXIMUM_FRAME_BYTES: Final = 32 * 1024 * 1024

_class_by_name: Final[dict[str, type]] = {}
_converter_by_class: Final[dict[type, '_Converter']] = {}


@dataclass(frozen=True, slots=True)
class _Converter:
    """Converts a message to maps, tuples and numbers, and back."""

    serializer: SchemaSerializer
    validator: SchemaValidator

    @classmethod
    def from_class(cls, message_class: type) -> '_Converter':
        """Build the converter of a data class."""
        try:
            schema = plain_schema(message_class)
        except NotPlain:
            # The messages of jobs declare limits of values. Only processes
            # that send these load pydantic.
            from pydantic import TypeAdapter

            schema = TypeAdapter(message_class).core_schema
        return cls(SchemaSerializer(schema), SchemaValidator(schema))


def register(*message_classes: type) -> None:
    """Register data classes with the codec under their class names.

    Raises `ValueError` for a second class of the same name.
    """
    for message_class in message_classes:
        name = message_class.__name__
        registered = _class_by_name.setdefault(name, message_class)
        if registered is not message_class:
            raise ValueError(
                f'{name} is already registered by {registered.__module__}; '
                f'{message_class.__module__} needs another name'
            )


def registered_classes() -> tuple[type, ...]:
    """Return all registered data classes."""
    return tuple(_class_by_name.values())


def _converter(message_class: type) -> _Converter:
    """Return the cached converter of a class; build it on first use."""
    converter = _converter_by_class.get(message_class)
    if converter is None:
        converter = _Converter.from_class(message_class)
        _converter_by_class[message_class] = converter
    return converter


def encode(messages: Sequence[object]) -> bytes:
    """Encode messages into one frame."""
    return cbor2.dumps(
        [
            [
                type(message).__name__,
                _converter(type(message)).serializer.to_python(message),
            ]
            for message in messages
        ]
    )


def decode(frame: bytes, *, peer: str) -> list[Any]:
    """Decode a frame; raise `ProtocolMismatch` if it is not valid."""
    try:
        pairs = cbor2.loads(frame)
    except Exception as error:
        raise ProtocolMismatch(
            f'frame of {len(frame)} bytes is not valid CBOR: {error}',
            step='decode',
            peer=peer,
        ) from error
    if not isinstance(pairs, list):
        raise ProtocolMismatch(
            'a frame must be an array', step='decode', peer=peer
        )
    return [_decode_one(pair, peer) for pair in pairs]


def _decode_one(pair: object, peer: str) -> Any:
    match pair:
        case [str(name), dict(fields)] if name in _class_by_name:
            pass
        case [str(name), _]:
            raise ProtocolMismatch(
                f'unknown message {name[:80]!r}', step='decode', peer=peer
            )
        case _:
            raise ProtocolMismatch(
                'a message must be [name, fields]', step='decode', peer=peer
            )
    try:
        converter = _converter(_class_by_name[name])
        return converter.validator.validate_python(fields)
    except ValidationError as error:
        error_details = error.errors(include_url=False, include_input=False)
        location = '.'.join(str(part) for part in error_details[0]['loc'])
        raise ProtocolMismatch(
            f'{name}.{location}: {error_details[0]["msg"]}',
            step='decode',
            peer=peer,
        ) from error
