"""Settings of a process, as frozen data classes.

`settingsfile` reads them from YAML.
"""

from baobabgap.settings._agent import AgentSettings
from baobabgap.settings._control import ControlSettings
from baobabgap.settings._entry import EntrySettings
from baobabgap.settings._model import ControlHost
from baobabgap.settings._model import Links
from baobabgap.settings._model import Listen
from baobabgap.settings._model import Place
from baobabgap.settings._model import Role
from baobabgap.settings._model import Settings
from baobabgap.settings._standin import StandInSettings

__all__ = [
    'AgentSettings',
    'ControlHost',
    'ControlSettings',
    'EntrySettings',
    'Links',
    'Listen',
    'Place',
    'Role',
    'Settings',
    'StandInSettings',
]
