"""Tasks that a process can't do without."""

from baobabgap.tasks._essential_tasks import EssentialTasks

__all__ = ['EssentialTasks']
