"""Limits of settings, stated without the library that checks them.

That library is loaded where settings are read from a file; it asks an
annotation for its schema.
"""

from collections.abc import Callable
from typing import Any
from typing import Final

# The configuration of a data class that has no further keys.
NO_OTHER_KEYS: Final = {'extra': 'forbid'}


class Limits:
    """Limits of a number or a text, named as by pydantic: `gt`, `pattern`.

    For example, `Annotated[float, Limits(gt=0, le=10)]`.
    """

    def __init__(self, **limits: float | str) -> None:
        self._limits: Final = limits

    def __get_pydantic_core_schema__(
        self, source: Any, handler: Callable[[Any], dict[str, Any]]
    ) -> dict[str, Any]:
        """Return the schema of the annotated type with these limits."""
        return {**handler(source), **self._limits}


class CheckedBy:
    """Has a function check a value, and raise `ValueError` or return it."""

    def __init__(self, check: Callable[[Any], Any]) -> None:
        self._check: Final = check

    def __get_pydantic_core_schema__(
        self, source: Any, handler: Callable[[Any], dict[str, Any]]
    ) -> dict[str, Any]:
        """Return the schema of the annotated type, followed by the check."""
        return {
            'type': 'function-after',
            'function': {'type': 'no-info', 'function': self._check},
            'schema': handler(source),
        }
