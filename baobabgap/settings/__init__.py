"""Settings of a process, loaded from YAML into frozen data classes."""

from baobabgap.settings._agent import AgentSettings
from baobabgap.settings._control import ControlSettings
from baobabgap.settings._entry import EntrySettings
from baobabgap.settings._load import load_settings
from baobabgap.settings._load import settings_from_document
from baobabgap.settings._model import ControlHost
from baobabgap.settings._model import Links
from baobabgap.settings._model import Listen
from baobabgap.settings._model import Place
from baobabgap.settings._model import Role
from baobabgap.settings._model import Settings
from baobabgap.settings._standin import StandInSettings
from baobabgap.settings._yaml import read_yaml

__all__ = [
    'AgentSettings',
    'ControlHost',
    'ControlSettings',
    'EntrySettings',
    'Links',
    'Listen',
    'load_settings',
    'Place',
    'read_yaml',
    'Role',
    'Settings',
    'settings_from_document',
    'StandInSettings',
]
