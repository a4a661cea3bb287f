"""A running best-effort job whose queue is removed as the leader is lost."""

from pathlib import Path
import sys
import threading
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

from deployment import call  # noqa: E402
from deployment import Client  # noqa: E402
from deployment import new_id  # noqa: E402
from deployment import run_case  # noqa: E402
from deployment import Unrunnable  # noqa: E402

DOWN_S = 3.0
WORK_MS = 1000
REJECTED = (400, 404, 429, 503)


def put_without_queue(deployment, leader):
    """Send the leader a configuration without the queue of the jobs."""
    deployment.version += 1
    document = deployment.configuration(
        deployment.version, name='r-other', pathPrefix='/other/'
    )
    answer = call(
        f'{leader.ip}:{deployment.port}', 'POST', '/api/Config.Put', document
    )
    deployment.record.add(
        'operator_answer',
        host=leader.name,
        path='/api/Config.Put',
        version=deployment.version,
        status=answer[0] if answer else None,
    )
    return answer is not None and answer[0] == 200


def case(deployment, trouble):
    deployment.start()
    leader = deployment.leader()
    client_by_job = {
        new_id(): Client(deployment, entry) for entry in deployment.entries
    }
    threads = [
        threading.Thread(
            target=client.submit,
            args=(job_id, WORK_MS),
            kwargs={'best_effort': True, 'count': 2},
        )
        for job_id, client in client_by_job.items()
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    if not put_without_queue(deployment, leader):
        raise Unrunnable('the configuration was not acknowledged')
    if trouble:
        leader.kill()
    for thread in threads:
        thread.join()
    if trouble:
        time.sleep(DOWN_S)
        leader.start()
    time.sleep(1.0)
    broken = []
    for job_id in client_by_job:
        starts = [
            row
            for row in deployment.record.of('run_started')
            if row['task'].startswith(job_id)
        ]
        statuses = [
            row['status']
            for row in deployment.record.of('answered', job=job_id)
        ]
        if starts and all(status in REJECTED for status in statuses):
            broken.append(
                f'{job_id}: {len(starts)} tasks started, its only request '
                f'was answered {statuses[0]}'
            )
    return '; '.join(broken)


if __name__ == '__main__':
    run_case(__file__, case)
