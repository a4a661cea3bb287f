"""A cancelled best-effort job whose request arrives once more."""

from pathlib import Path
import sys
import threading
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

from deployment import Client  # noqa: E402
from deployment import new_id  # noqa: E402
from deployment import run_case  # noqa: E402
from deployment import Unrunnable  # noqa: E402

CANCEL_MS = 3000
DOWN_S = 0.8
# After the start of the killed process: `contactMs` and some more.
CALM_S = 3.7


def case(deployment, trouble):
    deployment.start()
    client = Client(deployment, deployment.entries[0])
    other = Client(deployment, deployment.entries[1])
    leader = deployment.leader()
    job_id = new_id()

    def submit(entry_client):
        return entry_client.submit(
            job_id, 900, count=4, best_effort=True, deadline_ms=1500
        )

    first = threading.Thread(target=submit, args=(client,))
    first.start()
    time.sleep(0.3)
    answer = other.cancel(job_id)
    cancelled_at = deployment.record.now()
    if answer is None or answer[0] // 100 != 2:
        raise Unrunnable('the cancel was not acknowledged')
    first.join()
    time.sleep(0.2)
    if trouble:
        leader.kill()
    time.sleep(DOWN_S)
    if trouble:
        leader.start()
    time.sleep(CALM_S)
    # The same request, seconds after its 2xx response.
    submit(other)
    time.sleep(0.5)
    late = [
        row
        for row in deployment.record.of('run_started')
        if row['task'].startswith(job_id)
        and row['t'] > cancelled_at + CANCEL_MS / 1000
    ]
    if late:
        return (
            f'{len(late)} tasks of {job_id} started later than {CANCEL_MS} ms '
            f'after its cancelling was acknowledged; the first one '
            f'{late[0]["t"] - cancelled_at:.3f} s after'
        )
    return ''


if __name__ == '__main__':
    run_case(__file__, case)
