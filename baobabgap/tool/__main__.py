"""Runs the tool as `python -m baobabgap.tool`."""

import sys

from baobabgap.tool import main

if __name__ == '__main__':
    sys.exit(main())
