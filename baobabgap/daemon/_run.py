"""Starts a role and stops it when asked to."""

from collections.abc import Sequence
import signal
import threading
from types import FrameType
from typing import Protocol

from baobabgap.agent import Agent
from baobabgap.control import ControlHostProcess
from baobabgap.daemon._standalone import Standalone
from baobabgap.entry import Entry
from baobabgap.settings import Role
from baobabgap.settings import Settings
from baobabgap.standin import StandInUpstream
from baobabgap.telemetry import start_logging


class RoleProcess(Protocol):
    """What the daemon needs of a role."""

    def start(self) -> None:
        """Begin to work."""

    def stop(self) -> None:
        """Stop as planned; returns when all is done."""


def build_role(settings: Settings) -> RoleProcess:
    """Build the role that the settings name."""
    match settings.role:
        case Role.ENTRY:
            return Entry.from_settings(settings)
        case Role.AGENT:
            return Agent.from_settings(settings)
        case Role.CONTROL:
            return ControlHostProcess.from_settings(settings)
        case Role.STAND_IN:
            return StandInUpstream.from_settings(settings)
        case Role.STANDALONE:
            return Standalone.from_settings(settings)


def run_role(
    settings: Settings,
    signals: Sequence[int] = (signal.SIGTERM, signal.SIGINT),
) -> None:
    """Run a role until the first stop signal, then stop it as planned.

    Further signals change nothing: the stop is already under way.
    """
    asked_to_stop = threading.Event()

    def ask(number: int, frame: FrameType | None) -> None:
        asked_to_stop.set()

    for number in signals:
        signal.signal(number, ask)
    start_logging(settings.log_file, settings.name, settings.role)
    role = build_role(settings)
    role.start()
    asked_to_stop.wait()
    role.stop()
