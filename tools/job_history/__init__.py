"""Checked histories of scheduled jobs under faults: `make job-history`."""
