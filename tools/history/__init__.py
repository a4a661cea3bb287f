"""Runs under random faults whose recorded histories are checked."""
