"""Strict YAML parsing: duplicate keys are errors."""

from collections.abc import Hashable
from typing import Any

import yaml


class _StrictLoader(yaml.SafeLoader):
    """Refuses maps with duplicate keys.

    PyYAML keeps the last value without an error, so that a setting or a
    part of a ticket would silently be lost.
    """

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        seen: set[Hashable] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if isinstance(key, Hashable) and key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f'duplicate key {key!r}', key_node.start_mark
                )
            if isinstance(key, Hashable):
                seen.add(key)
        return super().construct_mapping(node, deep)


def read_yaml(text: str) -> Any:
    """Decode one YAML document.

    Raises `ValueError` with the position of a syntax error.
    """
    try:
        return yaml.load(text, Loader=_StrictLoader)
    except (yaml.YAMLError, RecursionError) as error:
        raise ValueError(' '.join(str(error).split())) from error
