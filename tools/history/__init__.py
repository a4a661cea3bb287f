"""Runs deployments under random faults and checks recorded histories."""
