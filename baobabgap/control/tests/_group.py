"""Control hosts and clients that run in the process of a test."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
import socket
import tempfile
import time
from typing import Any
import unittest

from baobabgap.control import ControlClient
from baobabgap.control import ControlHostProcess
from baobabgap.messages import Changes
from baobabgap.messages import Claim
from baobabgap.settings import ControlHost
from baobabgap.settings import ControlSettings
from baobabgap.settings import Links
from baobabgap.settings import Role
from baobabgap.settings import Settings

WAIT_LIMIT_S = 15.0


def free_port() -> int:
    """Return a TCP port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


def claim(job: str, content: bytes = b'content', token: int = 1) -> Claim:
    """Return a claim."""
    return Claim(job, content, token)


class Member:
    """A client with the changes that it has received."""

    def __init__(
        self,
        settings: Settings,
        role: str,
        name: str,
        incarnation: str,
        pool: ThreadPoolExecutor,
    ) -> None:
        self.alive_by_name: dict[str, bool] = {}
        self.value_by_key: dict[str, Any] = {}
        self.changes: list[Changes] = []
        self.client = ControlClient.from_settings(
            replace(settings, name=name),
            role,
            incarnation,
            f'10.0.0.1:{len(name)}',
            pool,
            self._apply,
            ('entry', 'agent'),
        )
        self.client.start()

    def _apply(self, changes: Changes) -> None:
        self.changes.append(changes)
        if changes.from_version == 0:
            self.alive_by_name.clear()
        for record in changes.members:
            self.alive_by_name[record.name] = record.alive
        for entry in changes.configuration:
            self.value_by_key[entry.key] = entry.value


class GroupTest(unittest.TestCase):
    """Starts hosts and members, and stops those left at the end."""

    # The number of control hosts.
    host_count = 1
    control = ControlSettings(
        election_timeout_s=0.4,
        request_wait_s=3.0,
        return_grace_s=0.5,
        change_pause_ms=10.0,
        member_heartbeat_s=0.2,
        member_silence_s=1.0,
    )

    def setUp(self) -> None:
        self.pool = ThreadPoolExecutor(1024)
        self.addCleanup(self.pool.shutdown, wait=False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.settings = Settings(
            role=Role.CONTROL,
            name='any',
            control_hosts=tuple(
                ControlHost(f'control-{number}', '127.0.0.1', free_port())
                for number in range(1, self.host_count + 1)
            ),
            links=Links(heartbeat_s=0.1, silence_s=0.6),
            control=self.control,
        )
        self.host_by_name: dict[str, ControlHostProcess] = {}
        for host in self.settings.control_hosts:
            self.start_host(host.name)

    def start_host(self, name: str) -> ControlHostProcess:
        """Start a host with a data folder of its own."""
        control = replace(
            self.settings.control, data_folder=f'{self.folder}/{name}'
        )
        host = ControlHostProcess.from_settings(
            replace(self.settings, name=name, control=control)
        )
        host.start()
        self.host_by_name[name] = host
        self.addCleanup(self.stop_host, name)
        return host

    def stop_host(self, name: str) -> None:
        """Stop a host as planned if it is running."""
        host = self.host_by_name.pop(name, None)
        if host is not None:
            host.stop()

    def member(
        self,
        role: str,
        name: str,
        incarnation: str = '',
        settings: Settings | None = None,
    ) -> Member:
        """Start a client."""
        member = Member(
            settings or self.settings,
            role,
            name,
            incarnation or f'{name}-a',
            self.pool,
        )
        self.addCleanup(member.client.stop)
        return member

    def settings_for(self, *names: str) -> Settings:
        """Return settings that list only the hosts with these names."""
        return replace(
            self.settings,
            control_hosts=tuple(
                host
                for host in self.settings.control_hosts
                if host.name in names
            ),
        )

    def pause(self, seconds: float) -> None:
        """Wait while something must not happen."""
        time.sleep(seconds)

    def wait_until(self, condition: Callable[[], bool], what: str) -> None:
        """Wait for a condition; fail the test after `WAIT_LIMIT_S`."""
        deadline = time.monotonic() + WAIT_LIMIT_S
        while not condition():
            if time.monotonic() > deadline:
                self.fail(f'timed out waiting until {what}')
            time.sleep(0.01)
