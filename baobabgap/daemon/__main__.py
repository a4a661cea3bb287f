"""Runs the daemon as `python -m baobabgap.daemon`."""

import sys

from baobabgap.daemon import main

sys.exit(main())
