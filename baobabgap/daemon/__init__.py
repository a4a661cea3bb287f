"""The daemon `baobabgapd`: one process, one role."""

from baobabgap.daemon._main import main

__all__ = ['main']
