"""A stand-in upstream for demonstrations, tests and the benchmark."""

from baobabgap.standin._behaviour import Behaviour
from baobabgap.standin._standin import StandInUpstream

__all__ = ['Behaviour', 'StandInUpstream']
