"""Findings of a review, and differences between two configurations."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Severity(StrEnum):
    """What a finding means for the configuration."""

    # The configuration would be refused.
    ERROR = 'error'
    # It would be accepted, and is unlikely to do what was meant.
    WARNING = 'warning'


@dataclass(frozen=True, slots=True)
class Finding:
    """One remark on a configuration."""

    severity: Severity
    # The entry that it concerns, such as `queue crews`.
    subject: str
    text: str

    @classmethod
    def error(cls, subject: str, text: str) -> 'Finding':
        """Create a finding for which the configuration would be refused."""
        return cls(Severity.ERROR, subject, text)

    @classmethod
    def warning(cls, subject: str, text: str) -> 'Finding':
        """Create a finding on a configuration that would be accepted."""
        return cls(Severity.WARNING, subject, text)


@dataclass(frozen=True, slots=True)
class Difference:
    """A value that a configuration would change; None if there is none."""

    # The path of the value, such as `queue crews.timeout_ms`.
    subject: str
    before: Any
    after: Any


@dataclass(frozen=True, slots=True)
class Review:
    """All findings on a configuration, and its differences."""

    findings: tuple[Finding, ...]
    # In the order of their paths.
    differences: tuple[Difference, ...]

    @property
    def has_errors(self) -> bool:
        """Whether the configuration would be refused."""
        return any(
            finding.severity is Severity.ERROR for finding in self.findings
        )


def differences_of(
    before: Mapping[str, Any], after: Mapping[str, Any], prefix: str = ''
) -> tuple[Difference, ...]:
    """Compare two documents value by value.

    An entry that only one of them has is one difference, for example::

        >>> differences_of({'a': {'b': 1}}, {'a': {'b': 2}})
        (Difference(subject='a.b', before=1, after=2),)
    """
    differences: list[Difference] = []
    for key in sorted({*before, *after}):
        old, new = before.get(key), after.get(key)
        if isinstance(old, Mapping) and isinstance(new, Mapping):
            differences.extend(differences_of(old, new, f'{prefix}{key}.'))
        elif old != new:
            differences.append(Difference(f'{prefix}{key}', old, new))
    return tuple(differences)
