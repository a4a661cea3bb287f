"""Tests of settings files: which are refused, and with which error."""

from pathlib import Path
import tempfile
import unittest

from baobabgap import SettingsError
from baobabgap.settings import Links
from baobabgap.settings import Role
from baobabgap.settingsfile import load_settings

_EXAMPLES = Path(__file__).parents[3] / 'examples' / 'local'
_ENTRY = """
role: entry
name: entry-1
control_hosts: [{name: control-1, host: 127.0.0.1, port: 17011}]
"""
_CONTROL = _ENTRY.replace('role: entry', 'role: control')


class TestLoadSettings(unittest.TestCase):
    """An invalid file is refused; the error names the file and the key.

    A process that started with a mistyped key would run on a default, and
    an error without the key and the allowed values gives an operator
    nothing to correct.
    """

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'process.yaml'

    def test_examples_are_valid(self) -> None:
        roles = [load_settings(path).role for path in _EXAMPLES.iterdir()]
        self.assertEqual(13, len(roles))
        self.assertEqual(3, roles.count(Role.CONTROL))

    def test_defaults(self) -> None:
        self.path.write_text(_ENTRY)
        settings = load_settings(self.path)
        self.assertEqual('127.0.0.1:17011', settings.control_hosts[0].address)
        self.assertEqual(Links(), settings.links)

    def test_refuses_invalid_values(self) -> None:
        cases: dict[str, tuple[str, list[str]]] = {
            'not YAML': ('role: [', ['line 1']),
            'empty file': ('', ['file', 'must be a map of role, name']),
            'a list': ('[]', ['file', 'must be a map of role, name']),
            'key twice': (_ENTRY + 'name: b', ["duplicate key 'name'"]),
            'no name': ('role: entry', ['name: is missing']),
            'unknown role': (
                'role: queen\nname: a',
                ["role: Input should be 'entry', 'agent', 'control'"],
            ),
            'unknown key': (
                _ENTRY + 'lisen: {}',
                ['lisen: unknown key; did you mean listen?', 'log_file'],
            ),
            'unknown inner key': (
                _ENTRY + 'links: {heartbeat_ms: 500}',
                ['links.heartbeat_ms: unknown key', 'heartbeat_s, silence_s'],
            ),
            'unknown key of a host': (
                'role: entry\nname: a\ncontrol_hosts: [{nmae: b}]',
                ['control_hosts.0.nmae', 'did you mean name?', 'host, port'],
            ),
            'wrong unit': (
                _ENTRY + 'links: {heartbeat_s: 500ms}',
                ['links.heartbeat_s', 'a number of seconds', "'500ms'"],
            ),
            'out of range': (
                _ENTRY + 'links: {heartbeat_s: 500}',
                ['links.heartbeat_s', 'less than or equal to 10', '(got 500)'],
            ),
            'wrong type': (
                _ENTRY + 'entry: {http_threads: many}',
                ['entry.http_threads', 'valid integer', "'many'"],
            ),
            'not a map': (
                _ENTRY + 'listen: 8080',
                ['listen', 'must be a map of host, internal_port, http_port'],
            ),
            'host by name': (
                _ENTRY + 'listen: {host: localhost}',
                ['listen.host', 'must be an IPv4 number', "'localhost'"],
            ),
            'bad port': (
                _ENTRY + 'listen: {http_port: 70000}',
                ['listen.http_port', 'less than or equal to 65535'],
            ),
        }
        self._assert_each_is_refused(cases)

    def test_refuses_inconsistent_values(self) -> None:
        cases: dict[str, tuple[str, list[str]]] = {
            'short silence': (
                _ENTRY + 'links: {heartbeat_s: 1, silence_s: 1.5}',
                ['links.silence_s', '2.0 or more (got 1.5)'],
            ),
            'short upstream silence': (
                _ENTRY + 'agent: {upstream_silence_s: 0.5}',
                ['agent.upstream_silence_s', '1.0 or more (got 0.5)'],
            ),
            'short lease': (
                _ENTRY + 'agent: {lease_s: 1.5}',
                ['agent.lease_s', 'must exceed', '(got 1.5)'],
            ),
            'one port for two': (
                _ENTRY + 'listen: {internal_port: 17021, http_port: 17021}',
                ['listen.http_port', 'differ', '17021'],
            ),
            'no control': (
                'role: agent\nname: agent-1',
                ['control_hosts', 'agent needs at least one'],
            ),
            'a control name twice': (
                _ENTRY.replace(
                    '}]', '}, {name: control-1, host: 10.0.0.2, port: 1}]'
                ),
                ['control_hosts', 'a name of its own'],
            ),
            'a control address twice': (
                _ENTRY.replace(
                    '}]', '}, {name: b, host: 127.0.0.1, port: 17011}]'
                ),
                ['control_hosts', 'an address of its own'],
            ),
            'host not listed': (
                _CONTROL,
                ['control_hosts', "'entry-1'", 'got control-1'],
            ),
            'host listens elsewhere': (
                _CONTROL.replace('entry-1', 'control-1')
                + 'listen: {internal_port: 17012}',
                ['listen.internal_port', 'must be 17011', '(got 17012)'],
            ),
        }
        self._assert_each_is_refused(cases)

    def test_refuses_unreadable_files(self) -> None:
        with self.assertRaisesRegex(SettingsError, 'process.yaml.*No such'):
            load_settings(self.path)
        self.path.write_bytes(b'\xff\xfe\x00')
        with self.assertRaisesRegex(SettingsError, 'process.yaml.*decode'):
            load_settings(self.path)

    def _assert_each_is_refused(
        self, cases: dict[str, tuple[str, list[str]]]
    ) -> None:
        for name, (text, expected) in cases.items():
            with self.subTest(name):
                self.path.write_text(text)
                with self.assertRaises(SettingsError) as caught:
                    load_settings(self.path)
                message = str(caught.exception)
                for part in [str(self.path), *expected]:
                    self.assertIn(part, message)
