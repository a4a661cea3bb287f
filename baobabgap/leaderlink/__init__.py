"""Links from entries and agents to the leader of the control group."""

from baobabgap.leaderlink._calls import LeaderCalls
from baobabgap.leaderlink._guide import LeaderGuide
from baobabgap.leaderlink._link import LeaderLink

__all__ = ['LeaderCalls', 'LeaderGuide', 'LeaderLink']
