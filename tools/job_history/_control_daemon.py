"""A control host that serves requests on its standard input.

A request is a line with a JSON list, `["put", version]` or `["read"]`. The
answer is a line on standard error, `["done", version]` or
`["failed", reason]`.
"""

import json
import sys
import time
from typing import Any
from typing import Final

from baobabgap.dispatch import ControlNode
from baobabgap.dispatch.tests.deployment import configuration
from baobabgap.protocol import ControlNodeOptions
from baobabgap.protocol import LeaseTiming
from baobabgap.settingsfile import settings_from_document
from tools.matrix._daemon import install_faulty_disk

# Longer than any run, as states of ended jobs may be discarded after it.
_RETENTION_MS: Final = 1_800_000
_REQUEST_TIMEOUT_S: Final = 2.0


def run_host(document: str) -> None:
    """Run a host until the input ends."""
    install_faulty_disk()
    settings = settings_from_document(
        json.loads(document), source='the command line'
    )
    node = ControlNode.from_settings(
        settings,
        ControlNodeOptions(LeaseTiming(), _RETENTION_MS, 1.5, 3, 3, 60.0),
    )
    node.start()
    _write_answer(['started', node.internal_port])
    for line in sys.stdin:
        _write_answer(_answer(node, json.loads(line)))
    node.stop()


def _answer(node: ControlNode, request: list[Any]) -> list[Any]:
    try:
        match request:
            case ['put', version]:
                stored = node.put_configuration(configuration(version))
                stored.result(_REQUEST_TIMEOUT_S)
                return ['done', version]
            case ['evacuate', zone, is_begin, give_up_at]:
                if time.monotonic() > give_up_at:
                    # As for a caller that has closed its connection.
                    return ['failed', 'the caller has left']
                order = (
                    node.begin_evacuation if is_begin else node.end_evacuation
                )
                order(zone).result(_REQUEST_TIMEOUT_S)
                return ['done', zone]
            case _:
                read = node.read_configuration().result(_REQUEST_TIMEOUT_S)
                return ['done', 0 if read is None else read.version]
    except Exception as error:
        # The caller waits for an answer, so every error must produce one.
        return ['failed', repr(error)]


def _write_answer(answer: list[Any]) -> None:
    print(json.dumps(answer), file=sys.stderr, flush=True)


if __name__ == '__main__':
    run_host(sys.argv[1])
