"""Injects every fault at every named step into real processes."""

from tools.matrix._disk import disk_fault_file
from tools.matrix._disk import DiskFault

__all__ = ['DiskFault', 'disk_fault_file']
