"""The count of waiting jobs leaves out jobs that have never begun.

One of twelve workers has the label `b`. It is unhealthy for 6.5 s and answers
each start with 503, so that it has done nothing (`srv_grey`, how `shed`).
Jobs that need it are accepted meanwhile, and the queue's count is read.
"""

import asyncio
from pathlib import Path
import sys

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))

import system  # noqa: E402

SHED_S = 6.5
# visible_ms + 2 s.
VISIBLE_S = 5.0
JOB = [{'count': 1, 'cpu': 1000, 'memMb': 64, 'estimateMs': 300,
        'requires': 'b'}]


async def main(record, trouble):
    deployment = system.System(record, controls=3, entries=2, workers=12)
    deployment.workers[11].labels = ['b', 'r4']
    try:
        if not await deployment.start():
            return None
        return await play(deployment, record, trouble)
    finally:
        await deployment.stop()


async def play(deployment, record, trouble):
    worker = deployment.workers[11]
    worker.shed = trouble
    began = record.now()
    accepted_at = {}
    for _ in range(8):
        job = deployment.new_id()
        status, _ = await deployment.submit(job, JOB, [300])
        if status == 200:
            accepted_at[job] = record.now()
        await asyncio.sleep(0.05)
    if len(accepted_at) < 4:
        return None
    breaches = []
    while record.now() < began + SHED_S - 0.2:
        asked_at = record.now()
        status, answer = await deployment.request('GET', '/lohu0/')
        begun = {row['task'].split('.')[0] for row in record.of('start')}
        due = [job for job, at in accepted_at.items()
               if at < asked_at - VISIBLE_S and job not in begun]
        if status == 200 and due and answer['waiting'] < len(due) / 2:
            breaches.append(
                f'MIXED: {answer["waiting"]} jobs are said to wait, but '
                f'{len(due)} were accepted over {VISIBLE_S} s before and have '
                'not begun')
        await asyncio.sleep(0.25)
    worker.shed = False
    await asyncio.sleep(3)
    return breaches[:3]


system.run(main, FOLDER)
