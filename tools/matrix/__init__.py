"""The fault matrix: every fault at every named step, on real processes."""
