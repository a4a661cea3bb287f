"""The daemon `baobabgapd`, which runs one role per process."""

from baobabgap.daemon._main import main

__all__ = ['main']
