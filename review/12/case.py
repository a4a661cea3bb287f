"""A job of a removed route runs, as a worker has crashed under it before."""

import os
from pathlib import Path
import sys
import threading
import time

sys.dont_write_bytecode = True
FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib3'))

from system import configuration  # noqa: E402
from system import job_id  # noqa: E402
from system import one_step  # noqa: E402
from system import route  # noqa: E402
from system import System  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
REMOVED = '/route1/'
WORK_MS = 1200
# The first call ends with 504 before the work does; the second one would not.
DEADLINE_MS = 1000
SECOND_DEADLINE_MS = 4000
# More than resendMs (1.3 s), so that it comes over configApplyMs (2 s) after
# the acknowledgement.
RESEND_S = 1.6
CONFIG_APPLY_S = 2.0
DOWN_S = 4.5


def run(system):
    system.start()
    if not system.ready():
        return 2
    both = configuration(5, [route(), route(1)])
    if not system.put_until_stored(both):
        return 2
    # The rules hold for machines that have been in touch for 3 s.
    time.sleep(4)
    job = job_id()
    document = one_step(ms=WORK_MS, cpu=3100, stored=False)
    answers = []

    def call(deadline_ms, entry):
        sent = time.time()
        status, answer = system.client(
            'POST', job, document, entry=entry, prefix=REMOVED,
            timeout=deadline_ms / 1000 + 1, deadline_ms=deadline_ms,
        )
        answers.append((sent, time.time(), status, answer))

    first = threading.Thread(target=call, args=(DEADLINE_MS, 0))
    first.start()
    give_up = time.time() + 2
    while not starts_of(system, job):
        if time.time() > give_up:
            return 2
        time.sleep(0.01)
    without = configuration(7, [route()])
    status = system.operator('POST', '/api/Config.Put', without)[0]
    acknowledged = time.time()
    if status != 200:
        return 2
    system.note('removal acknowledged', job=job)
    if TROUBLE:
        last = starts_of(system, job)[-1]
        worker = next(w for w in system.workers if w.id == last['worker'])
        worker.kill()
        threading.Timer(DOWN_S, worker.start).start()
    first.join()
    if answers[0][2] not in (0, 502, 504):
        return 2
    time.sleep(RESEND_S)
    call(SECOND_DEADLINE_MS, 1)
    sent, _, status, answer = answers[1]
    late_s = sent - acknowledged
    starts = [s for s in starts_of(system, job) if s['at'] > sent]
    # Another job of the removed route is refused, as it should be.
    other = system.client('POST', job_id(), document, entry=1, prefix=REMOVED)
    time.sleep(DOWN_S if TROUBLE else 0)
    system.note(
        'verdict', job=job, sent_s_after_acknowledgement=round(late_s, 3),
        status=status, answer=answer, starts_since=len(starts),
        another_job=other[0],
    )
    if late_s <= CONFIG_APPLY_S or other[0] != 404:
        return 2
    return 1 if status == 200 and starts else 0


def starts_of(system, job):
    return [
        event for event in system.events()
        if event['event'] == 'start' and event['task'].startswith(job)
    ]


def main():
    system = System(FOLDER / 'record.txt', agents=11)
    try:
        status = run(system)
        system.note('exit', status=status)
    finally:
        system.close()
    return status


if __name__ == '__main__':
    sys.exit(main())
