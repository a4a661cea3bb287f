"""Dispatch of accepted jobs by the leader of the control group."""

from baobabgap.dispatch._control_node import ControlNode

__all__ = ['ControlNode']
