"""The entry role: admits, claims and places jobs and answers them."""

from baobabgap.entry._entry import Entry

__all__ = ['Entry']
