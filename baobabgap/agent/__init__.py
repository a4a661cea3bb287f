"""The agent process, which starts all tasks on one upstream."""

from baobabgap.agent._agent import Agent

__all__ = ['Agent']
