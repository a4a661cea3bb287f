"""Runs a role until a stop signal arrives."""

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
from baobabgap.tasks import EssentialTasks
from baobabgap.telemetry import start_logging


class RoleProcess(Protocol):
    """The interface of a role that the daemon runs."""

    @property
    def task_groups(self) -> Sequence[EssentialTasks]:
        """The tasks with which the daemon ends if one of them fails."""

    def start(self) -> None:
        """Start the role and return."""

    def stop(self) -> None:
        """Stop gracefully; return when the role has stopped."""


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
) -> bool:
    """Run a role until the first stop signal, then stop it gracefully.

    Further signals have no effect: the stop is already in progress. The role
    is also stopped if a task fails without which it can't work. Returns
    whether none has failed.
    """
    stop_requested = threading.Event()

    def request_stop(signal_number: int, frame: FrameType | None) -> None:
        stop_requested.set()

    for signal_number in signals:
        signal.signal(signal_number, request_stop)
    start_logging(settings.log_file, settings.name, settings.role)
    role = build_role(settings)
    for tasks in role.task_groups:
        tasks.on_failure = stop_requested.set
    role.start()
    stop_requested.wait()
    role.stop()
    return not any(tasks.failed_task for tasks in role.task_groups)
