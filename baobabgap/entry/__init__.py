"""The entry role: admission, claims, placement and answers."""

from baobabgap.entry._entry import Entry

__all__ = ['Entry']
