"""A bench: real processes, seeded traces, one JSON line a case."""
