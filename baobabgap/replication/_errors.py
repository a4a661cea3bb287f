"""Errors of proposals, membership changes and storage."""

from baobabgap._exceptions import BaobabgapError
from baobabgap.settings import ControlHost


class NotLeader(BaobabgapError):
    """This host is not the leader; the request changed nothing.

    `leader` is the leader known to this host, or None.
    """

    def __init__(self, step: str, leader: ControlHost | None) -> None:
        where = f'{leader.name} at {leader.address}' if leader else 'unknown'
        super().__init__(
            f'this host does not lead; the leader is {where}',
            step=step,
            peer=leader.name if leader else '',
        )
        self.leader = leader


class OutcomeUnknown(BaobabgapError):
    """The command may be committed already, later or never."""


class MembershipChangeRefused(BaobabgapError):
    """The membership change was not started; nothing has changed."""


class MemberRemoved(BaobabgapError):
    """The host was removed before it became a voter."""


class StorageUnavailable(BaobabgapError):
    """A write or a sync failed; nothing was acknowledged."""


class DataFolderInUse(BaobabgapError):
    """Another process holds the lock on the data folder."""


class DamagedLog(BaobabgapError):
    """Stored bytes differ from those that were synced.

    `file` and `offset` locate the first invalid byte. The host must not
    start with the remaining data, since it may have acknowledged entries
    that are lost.
    """

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(
            f'{file} is damaged at byte {offset}: {reason}',
            step='open storage',
        )
        self.file = file
        self.offset = offset
        self.reason = reason
