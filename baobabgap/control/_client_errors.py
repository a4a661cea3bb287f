"""Errors of requests to the control group."""

from baobabgap._exceptions import BaobabgapError


class ControlUnavailableError(BaobabgapError):
    """The request was not carried out, or its outcome is unknown.

    `unchanged` is true if the request certainly changed nothing.
    """

    def __init__(
        self, message: str, *, step: str, peer: str, unchanged: bool
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.unchanged = unchanged
