"""Tests of the launcher with dummy daemons."""

from pathlib import Path
from random import SystemRandom
import socket
import sys
import unittest
from unittest.mock import patch

from baobabgap.settingsfile import load_settings
from tools.deployment_plan import DeploymentPlan
from tools.deployment_plan import HeldPorts
from tools.launcher import Launcher
from tools.launcher import LaunchError

_DUMMY_COMMAND = (sys.executable, '-m', 'tools.tests.dummy_daemon')
_SMALL_PLAN = DeploymentPlan(control_hosts=1, entries=1, agents=1)


def _is_running(pid: int) -> bool:
    return Path(f'/proc/{pid}').exists()


class TestDeploymentPlan(unittest.TestCase):
    """A daemon can load every settings file that a plan writes."""

    def test_settings_load(self) -> None:
        with Launcher.from_plan(DeploymentPlan(agents=2)) as launcher:
            self.assertEqual(3, len(launcher.names_with_role('control')))
            self.assertEqual(9, len(launcher.names))
            addresses = [launcher.http_address(n) for n in launcher.names]
            self.assertEqual(9, len(set(addresses)))
            launcher.write_settings()
            for name in launcher.names:
                with self.subTest(name):
                    path = launcher.folder / f'{name}.yaml'
                    settings = load_settings(path)
                    self.assertEqual(name, settings.name)


class TestHeldPorts(unittest.TestCase):
    """A port can't be taken between its selection and its use."""

    def setUp(self) -> None:
        self.ports = HeldPorts()
        self.addCleanup(self.ports.close)
        self.port = self.ports.allocate()

    def test_nobody_else_finds_the_port_free(self) -> None:
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind(('127.0.0.1', self.port))
        others = HeldPorts()
        self.addCleanup(others.close)
        with patch.object(
            SystemRandom,
            'randrange',
            side_effect=[self.port, *range(15_000, 15_100)],
        ):
            self.assertNotEqual(self.port, others.allocate())

    def test_server_listens_on_the_port_and_again_after_its_end(self) -> None:
        for _ in range(2):
            with socket.create_server(('127.0.0.1', self.port)):
                socket.create_connection(('127.0.0.1', self.port), 1.0).close()
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection(('127.0.0.1', self.port), 1.0)

    def test_launcher_holds_its_ports_until_it_is_closed(self) -> None:
        with Launcher.from_plan(_SMALL_PLAN) as launcher:
            host, port = launcher.http_address('entry-1').split(':')
            with socket.socket() as other, self.assertRaises(OSError):
                other.bind((host, int(port)))
        with socket.socket() as other:
            other.bind((host, int(port)))


class TestLauncher(unittest.TestCase):
    """Processes start and stop; none is left running after an error."""

    def test_kills_all_on_error(self) -> None:
        pids: list[int] = []
        with self.assertRaisesRegex(ValueError, 'on purpose'):
            with Launcher.from_plan(_SMALL_PLAN, _DUMMY_COMMAND) as launcher:
                launcher.start_all()
                launcher.wait_until_ready()
                pids = [launcher.pid(name) for name in launcher.names]
                launcher.freeze('agent-1')
                raise ValueError('on purpose')
        self.assertEqual(4, len(pids))
        self.assertEqual([], [pid for pid in pids if _is_running(pid)])
        self.assertFalse(launcher.folder.exists())

    def test_restart_and_stop(self) -> None:
        with Launcher.from_plan(_SMALL_PLAN, _DUMMY_COMMAND) as launcher:
            launcher.start_all()
            launcher.wait_until_ready()
            first_pid = launcher.pid('entry-1')
            self.assertGreater(launcher.usage('entry-1').processor_s, 0.0)
            self.assertGreater(launcher.usage('entry-1').resident_bytes, 0)
            launcher.restart('entry-1')
            launcher.wait_until_ready(['entry-1'])
            self.assertNotEqual(first_pid, launcher.pid('entry-1'))
            self.assertFalse(_is_running(first_pid))
            self.assertEqual(0, launcher.stop('entry-1'))
            self.assertFalse(launcher.is_ready('entry-1'))

    def test_reports_early_exit(self) -> None:
        plan = DeploymentPlan(control_hosts=1, entries=9, agents=0)
        with Launcher.from_plan(plan, _DUMMY_COMMAND) as launcher:
            launcher.write_settings()
            launcher.start('entry-9')
            with self.assertRaisesRegex(LaunchError, 'never starts'):
                launcher.wait_until_ready(['entry-9'])
