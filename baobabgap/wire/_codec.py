"""Encodes typed messages into CBOR frames and decodes them.

A frame is a CBOR array of messages; each message is an array of the
name of its data class and a map of its fields. Messages that are queued
at the same time share a frame.
"""

from collections.abc import Sequence
from typing import Any
from typing import Final

import cbor2
from pydantic import TypeAdapter
from pydantic import ValidationError

from baobabgap._exceptions import ProtocolMismatch

PROTOCOL_VERSION: Final = 1
MAXIMUM_FRAME_BYTES: Final = 32 * 1024 * 1024

_class_by_name: Final[dict[str, type]] = {}
_adapter_by_class: Final[dict[type, TypeAdapter[Any]]] = {}


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


def _adapter(message_class: type) -> TypeAdapter[Any]:
    """Return the cached adapter of a class; build it on first use."""
    adapter = _adapter_by_class.get(message_class)
    if adapter is None:
        adapter = TypeAdapter(message_class)
        _adapter_by_class[message_class] = adapter
    return adapter


def encode(messages: Sequence[object]) -> bytes:
    """Encode messages into one frame."""
    return cbor2.dumps(
        [
            [
                type(message).__name__,
                _adapter(type(message)).dump_python(message),
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
        return _adapter(_class_by_name[name]).validate_python(fields)
    except ValidationError as error:
        error_details = error.errors(include_url=False, include_input=False)
        location = '.'.join(str(part) for part in error_details[0]['loc'])
        raise ProtocolMismatch(
            f'{name}.{location}: {error_details[0]["msg"]}',
            step='decode',
            peer=peer,
        ) from error
