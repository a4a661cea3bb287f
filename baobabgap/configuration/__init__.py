"""The configuration of the deployment, set by change tickets."""

from baobabgap.configuration._model import Configuration
from baobabgap.configuration._model import EVACUATION_PREFIX
from baobabgap.configuration._model import OrderPolicy
from baobabgap.configuration._model import PlacementPolicy
from baobabgap.configuration._model import Policy
from baobabgap.configuration._model import TeamQuota
from baobabgap.configuration._model import UpstreamLimit
from baobabgap.configuration._model import validate_state
from baobabgap.configuration._model import ZoneEvacuation

__all__ = [
    'Configuration',
    'EVACUATION_PREFIX',
    'OrderPolicy',
    'PlacementPolicy',
    'Policy',
    'TeamQuota',
    'UpstreamLimit',
    'validate_state',
    'ZoneEvacuation',
]
