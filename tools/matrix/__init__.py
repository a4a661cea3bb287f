"""The fault matrix: every fault at every named step, on real processes."""

from tools.matrix._disk import DiskFault
from tools.matrix._disk import order_file

__all__ = ['DiskFault', 'order_file']
