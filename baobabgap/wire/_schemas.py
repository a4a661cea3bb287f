"""Schemas of messages for pydantic-core, built from their data classes.

Pydantic itself would build the same ones, but loading it costs a process
a third of the processor time of its start.
"""

from dataclasses import Field
from dataclasses import fields
from dataclasses import is_dataclass
from dataclasses import MISSING
from enum import StrEnum
from types import NoneType
from types import UnionType
from typing import Any
from typing import Final
from typing import get_args
from typing import get_origin

from pydantic_core import core_schema
from pydantic_core import CoreSchema

_SCHEMA_BY_TYPE: Final[dict[Any, CoreSchema]] = {
    Any: core_schema.any_schema(),
    bool: core_schema.bool_schema(),
    bytes: core_schema.bytes_schema(),
    float: core_schema.float_schema(),
    int: core_schema.int_schema(),
    str: core_schema.str_schema(),
}


class NotPlain(TypeError):
    """Raised for a type whose schema only pydantic can build."""


def plain_schema(field_type: Any) -> CoreSchema:
    """Return the schema of a type; raise `NotPlain` for most.

    Plain are numbers, texts, bytes, enumerations of texts, data classes,
    tuples and maps of these, and any of them or `None`.
    """
    if field_type in _SCHEMA_BY_TYPE:
        return _SCHEMA_BY_TYPE[field_type]
    arguments = get_args(field_type)
    match get_origin(field_type):
        case origin if origin is tuple:
            return _tuple_schema(arguments)
        case origin if origin is dict:
            return core_schema.dict_schema(*map(plain_schema, arguments))
        case origin if origin is UnionType:
            return _optional_schema(arguments)
    if isinstance(field_type, type) and issubclass(field_type, StrEnum):
        return core_schema.enum_schema(
            field_type, list(field_type), sub_type='str'
        )
    if isinstance(field_type, type) and is_dataclass(field_type):
        if not hasattr(field_type, '__pydantic_config__'):
            return _class_schema(field_type)
    raise NotPlain(f'{field_type} is not plain')


def _tuple_schema(arguments: tuple[Any, ...]) -> CoreSchema:
    if arguments[-1] is Ellipsis:
        return core_schema.tuple_schema(
            [plain_schema(arguments[0])], variadic_item_index=0
        )
    return core_schema.tuple_schema(
        [plain_schema(argument) for argument in arguments]
    )


def _optional_schema(arguments: tuple[Any, ...]) -> CoreSchema:
    match arguments:
        case (value_type, none_type) if none_type is NoneType:
            return core_schema.nullable_schema(plain_schema(value_type))
    raise NotPlain(f'{arguments} is not one type or None')


def _class_schema(message_class: type[Any]) -> CoreSchema:
    all_fields = fields(message_class)
    return core_schema.dataclass_schema(
        message_class,
        core_schema.dataclass_args_schema(
            message_class.__name__,
            [_field_schema(each) for each in all_fields],
        ),
        [each.name for each in all_fields],
        slots=True,
    )


def _field_schema(each: 'Field[Any]') -> core_schema.DataclassField:
    schema = plain_schema(each.type)
    if each.default is not MISSING:
        schema = core_schema.with_default_schema(schema, default=each.default)
    elif each.default_factory is not MISSING:
        schema = core_schema.with_default_schema(
            schema, default_factory=each.default_factory
        )
    return core_schema.dataclass_field(each.name, schema, kw_only=False)
