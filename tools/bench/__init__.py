"""Benchmark with real processes and seeded traces."""
