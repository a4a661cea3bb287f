"""A new control host is lost while it joins the group.

With `JOINER=kept` in the environment it isn't, and all else is the same.
"""

import os
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

from deployment import call  # noqa: E402
from deployment import Client  # noqa: E402
from deployment import Deployment  # noqa: E402
from deployment import Machine  # noqa: E402
from deployment import new_id  # noqa: E402
from deployment import run_case  # noqa: E402
from deployment import Unrunnable  # noqa: E402

# From each loss to the next one, and from the last one to the questions: more
# than `contactMs` and than `catchUpS` of the next host.
PAUSES_S = (33.0, 22.0)
SETTLE_S = 8.0
ASK_S = 14.0


def make(record):
    return Deployment(record, workers=4)


def add_host(deployment):
    number = len(deployment.hosts)
    host = Machine(
        deployment,
        f'core-{number}',
        'control',
        f'{deployment.net}.{10 + number}',
        'palermo',
    )
    # An empty host that joins a system that exists.
    host.bootstrap = False
    deployment.hosts.append(host)
    host.start()
    return host


def lose_hosts(deployment):
    """Replace one host as planned; its successor is lost as it joins."""
    leader = deployment.leader()
    leaving = [host for host in deployment.hosts if host is not leader][-1]
    joining = add_host(deployment)
    time.sleep(1.0)
    leaving.terminate()
    # The leader removes the host that left, and adds the new one 0.5 s later.
    give_up_at = time.monotonic() + 20
    while 'member_removed' not in leader.log():
        if time.monotonic() > give_up_at:
            raise Unrunnable('the host that left was not removed')
        time.sleep(0.01)
    time.sleep(0.25)
    if os.environ.get('JOINER') != 'kept':
        # Gone for good: it answers nothing from now on.
        joining.freeze()
        time.sleep(1.0)
        add_host(deployment)
    for pause_s in PAUSES_S:
        watch(deployment, pause_s, joining)
        if 200 not in statuses(deployment, joining).values():
            deployment.record.add('no_leader_before_the_next_loss')
            return
        last = deployment.leader()
        last.kill()
        time.sleep(1.0)
        add_host(deployment)


def statuses(deployment, gone):
    """Ask each running host for the configuration."""
    status_by_host = {}
    for host in deployment.hosts:
        if host.is_alive and host is not gone:
            answer = call(
                f'{host.ip}:{deployment.port}', 'GET', '/api/Config.Get'
            )
            status_by_host[host.name] = answer[0] if answer else None
    return status_by_host


def watch(deployment, seconds, gone):
    """Record which hosts serve operators."""
    give_up_at = time.monotonic() + seconds
    known = None
    while time.monotonic() < give_up_at:
        status_by_host = statuses(deployment, gone)
        if status_by_host != known:
            deployment.record.add('read_statuses', status=status_by_host)
            known = status_by_host
        time.sleep(1.0)


def case(deployment, trouble):
    deployment.start()
    # The group grows to five hosts.
    time.sleep(2.0)
    clients = [Client(deployment, entry) for entry in deployment.entries]
    job_id = new_id()
    answer = clients[0].submit(job_id, 300)
    if answer is None or answer[0] // 100 != 2:
        raise Unrunnable('the job was not accepted')
    time.sleep(1.5)
    answer = clients[0].read(job_id)
    if answer is None or answer[2] != {'state': 'completed'}:
        raise Unrunnable('the job did not complete')
    if trouble:
        lose_hosts(deployment)
    else:
        time.sleep(sum(PAUSES_S))
    time.sleep(SETTLE_S)
    give_up_at = time.monotonic() + ASK_S
    is_known = is_acknowledged = False
    while time.monotonic() < give_up_at:
        for client in clients:
            answer = client.read(job_id)
            is_known = is_known or bool(answer and answer[0] == 200)
        is_acknowledged = is_acknowledged or deployment.put_configuration()
        if is_known and is_acknowledged:
            return ''
        time.sleep(0.5)
    return (
        f'for {ASK_S:.0f} s, no entry gave the state of the accepted job '
        f'{job_id}: {not is_known}; no configuration was acknowledged: '
        f'{not is_acknowledged}'
    )


if __name__ == '__main__':
    run_case(__file__, case)
