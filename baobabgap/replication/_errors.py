"""How a proposal or the storage can fail."""

from baobabgap._exceptions import BaobabgapError
from baobabgap.settings import ControlHost


class NotLeader(BaobabgapError):
    """The request certainly changed nothing: this host does not lead.

    `leader` is the host that leads as far as is known here, or None.
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
    """The command may or may not be committed, now or later."""


class MembershipChangeRefused(BaobabgapError):
    """The change of members was not begun; nothing has changed."""


class StorageUnavailable(BaobabgapError):
    """The disk refused a write or a sync; nothing was acknowledged."""


class DataFolderInUse(BaobabgapError):
    """Another process holds the lock on the data folder."""


class DamagedLog(BaobabgapError):
    """Stored bytes that are not what was once synced.

    Names the file and the offset of the first byte that is wrong. The
    host must not start with what is left, since it may have
    acknowledged what is gone.
    """

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(
            f'{file} is damaged at byte {offset}: {reason}',
            step='open storage',
        )
        self.file = file
        self.offset = offset
        self.reason = reason
