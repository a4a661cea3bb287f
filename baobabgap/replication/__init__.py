"""A durable log of commands, replicated among the control hosts.

Commands are opaque bytes. A command is acknowledged once a majority of
the hosts has synced it, and every host applies the same commands in the
same order. docs/PROTOCOL-REPLICATION.md states the guarantees.
"""

from baobabgap.replication._errors import DamagedLog
from baobabgap.replication._errors import DataFolderInUse
from baobabgap.replication._errors import MemberRemoved
from baobabgap.replication._errors import MembershipChangeRefused
from baobabgap.replication._errors import NotLeader
from baobabgap.replication._errors import OutcomeUnknown
from baobabgap.replication._errors import StorageUnavailable
from baobabgap.replication._log import ReplicatedLog
from baobabgap.replication._machine import StateMachine
from baobabgap.replication._status import GroupRole
from baobabgap.replication._status import LogStatus
from baobabgap.replication._status import MemberStatus

__all__ = [
    'DamagedLog',
    'DataFolderInUse',
    'GroupRole',
    'LogStatus',
    'MemberRemoved',
    'MembershipChangeRefused',
    'MemberStatus',
    'NotLeader',
    'OutcomeUnknown',
    'ReplicatedLog',
    'StateMachine',
    'StorageUnavailable',
]
