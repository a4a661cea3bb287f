"""Checks recorded histories of jobs under faults: `make job-history`."""
