"""Data model of the settings file of a process."""

from dataclasses import dataclass
from enum import StrEnum
from ipaddress import IPv4Address
from typing import Annotated

from baobabgap.settings._agent import AgentSettings
from baobabgap.settings._control import ControlSettings
from baobabgap.settings._entry import EntrySettings
from baobabgap.settings._limits import CheckedBy
from baobabgap.settings._limits import Limits
from baobabgap.settings._limits import NO_OTHER_KEYS
from baobabgap.settings._standin import StandInSettings

Port = Annotated[int, Limits(ge=0, le=65535)]


def _require_ip_number(text: str) -> str:
    """Refuse host names, since processes don't depend on DNS."""
    try:
        IPv4Address(text)
    except ValueError as error:
        raise ValueError('must be an IPv4 number') from error
    return text


IpNumber = Annotated[str, CheckedBy(_require_ip_number)]
Name = Annotated[str, Limits(pattern=r'^[a-z][a-z0-9-]{0,39}$')]


class Role(StrEnum):
    """The role of a process."""

    ENTRY = 'entry'
    AGENT = 'agent'
    CONTROL = 'control'
    # All three roles and a stand-in upstream, for evaluation.
    STANDALONE = 'standalone'
    # A simulated upstream for demonstrations and tests.
    STAND_IN = 'stand-in'


@dataclass(frozen=True, slots=True)
class Place:
    """The location of the process."""

    __pydantic_config__ = NO_OTHER_KEYS

    region: Name = 'local'
    availability_zone: Name = 'local-a'
    rack: Name = 'rack-1'


@dataclass(frozen=True, slots=True)
class Listen:
    """The addresses that the process listens on."""

    __pydantic_config__ = NO_OTHER_KEYS

    host: IpNumber = '127.0.0.1'
    # For links between the system's processes.
    internal_port: Port = 0
    # For clients, upstreams, the load balancer and operators.
    http_port: Port = 0


@dataclass(frozen=True, slots=True)
class ControlHost:
    """One initial member of the control group."""

    __pydantic_config__ = NO_OTHER_KEYS

    name: Name
    host: IpNumber
    port: Port

    @property
    def address(self) -> str:
        """The address for internal links, as host:port."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True)
class Links:
    """Timing of the links between processes."""

    __pydantic_config__ = NO_OTHER_KEYS

    # Seconds between heartbeats on an idle link.
    heartbeat_s: Annotated[float, Limits(gt=0, le=10)] = 1.0
    # Seconds of silence after which a link is closed.
    silence_s: Annotated[float, Limits(gt=0, le=60)] = 2.5


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a process; read them with `load_settings`."""

    __pydantic_config__ = NO_OTHER_KEYS

    role: Role
    name: Name
    place: Place = Place()
    listen: Listen = Listen()
    control_hosts: tuple[ControlHost, ...] = ()
    links: Links = Links()
    # The file to which JSON lines are appended; standard error if empty.
    log_file: str = ''
    entry: EntrySettings = EntrySettings()
    agent: AgentSettings = AgentSettings()
    control: ControlSettings = ControlSettings()
    stand_in: StandInSettings = StandInSettings()
