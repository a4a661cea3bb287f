"""A simulated deployment for trying orders of messages; see EXPLORER.md."""
