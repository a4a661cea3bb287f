"""The agent: the process beside one upstream, only judge of its starts."""

from baobabgap.agent._agent import Agent

__all__ = ['Agent']
