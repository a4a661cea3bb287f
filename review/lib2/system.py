"""Starts baobabgap's own programs by the deploy file, on loopback addresses."""

import asyncio
import json
import os
from pathlib import Path
import random
import shlex
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

import web
from worker import Worker

ROOT = Path(__file__).resolve().parents[2]
ZONES = ('catania', 'palermo', 'agrigento')
HOST = 'nony24.example'
SERVICE = 'huvo11a'
BOUNDS = {
    'seedLagS': 3, 'addrReuseS': 2, 'contactMs': 3000, 'ackMs': 4000,
    'catchUpS': 4, 'drainMs': 2000, 'graceS': 6, 'lossSlackMs': 200,
    'configApplyMs': 2000, 'rollbackSlackMs': 250, 'maxSkewMs': 5000,
    'recoveryS': 12, 'holdMaxMs': 1000, 'stopMs': 50, 'gangMs': 3000,
    'cancel_ms': 3000, 'visible_ms': 3000, 'early_ms': 250, 'finish_s': 14,
    'status_s': 120, 'farX': 1.5, 'checkpointS': 2, 'restoreMs': 250,
    'noticeMs': 4500, 'leaseMs': 3000, 'resendMs': 1300,
}


def _free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run; written to record.txt at the end."""

    def __init__(self, path):
        self.path = path
        self.began = time.monotonic()
        self.rows = []

    def __call__(self, event, **fields):
        row = {'t': round(time.monotonic() - self.began, 3), 'event': event,
               **fields}
        self.rows.append(row)
        return row

    def of(self, event, **fields):
        return [row for row in self.rows if row['event'] == event and all(
            row.get(key) == value for key, value in fields.items())]

    def now(self):
        return time.monotonic() - self.began

    def write(self):
        with open(self.path, 'w') as file:
            for row in self.rows:
                file.write(json.dumps(row) + '\n')


class System:
    """Control hosts, entries, and agents with one worker each."""

    def __init__(self, record, *, controls=3, entries=2, workers=3, seed=1):
        self.record = record
        self.rng = random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix='baobabgap-case-'))
        self.internal = _free_port()
        self.port = _free_port()
        self.front = _free_port()
        self.ready = _free_port()
        self.app = _free_port()
        # So that cases can run side by side.
        net = 40 + os.getpid() % 150
        ip = lambda kind, n: f'127.{net}.{kind}.{n + 1}'
        self.children = {}
        self.specs = {}
        self.control_ips = [ip(1, n) for n in range(controls)]
        self.entry_ips = [ip(2, n) for n in range(entries)]
        self.agent_ips = [ip(3, n) for n in range(workers)]
        self.demands = {}
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        runs = {name: role['run'] for name, role in deploy['roles'].items()}
        for n, address in enumerate(self.control_ips):
            self._add(f'control-{n}', runs['control'], address, n, 'core',
                      {'control': f'{address}:{self.port}'}, counted=True)
        for n, address in enumerate(self.entry_ips):
            self._add(f'entry-{n}', runs['entry'], address, n, 'front',
                      {'front': f'{address}:{self.front}',
                       'ready': f'{address}:{self.ready}',
                       'control': f'{address}:{self.port}'})
        self.workers = []
        for n, address in enumerate(self.agent_ips):
            self._add(f'agent-{n}', runs['agent'], address, n, 'side',
                      {'control': f'{address}:{self.port}'},
                      app=f'{address}:{self.app}')
            worker = Worker(
                record, f'w{n}', f'{address}:{self.app}',
                f'{address}:{self.port}', SERVICE, ZONES[n % 3],
                {'cpu': 32000, 'memMb': 65536, 'gpu': 0},
                ['a', f'r{1 + n // 3}'])
            worker.demand_of = lambda task: self.demands.get(
                (task.split('.')[0], int(task.split('.')[2])), {})
            self.workers.append(worker)
        self.entries = [f'{address}:{self.front}' for address in self.entry_ips]
        self.operators = [f'{address}:{self.port}' for address in
                          (*self.control_ips, *self.entry_ips)]

    def _add(self, name, run, ip, n, machine_class, listen, *, counted=False,
             app=''):
        zone = ZONES[n % len(ZONES)]
        seeds = [f'{a}:{self.port}' for a in self.control_ips[:3]]
        lines = [
            f'nodeName = "{name}"', f'role = "{machine_class}"',
            f'machineClass = "{machine_class}"', f'ip = "{ip}"',
            f'zone = "{zone}"', 'region = "sicilia"',
            f'internalPorts = [{self.internal},{self.internal}]',
            f'seeds = {json.dumps(seeds)}', 'bootstrap = true',
            f'faultCounted = {json.dumps(counted)}', 'discovery = "local"',
            'entry = "vip"', 'heartbeatMs = 1500', 'config_mode = "highest"',
            'orders = "rpc"',
        ]
        if counted:
            (self.folder / name).mkdir()
            lines.append(f'dataDir = "{self.folder / name}"')
        if app:
            lines.append(f'app = "{app}"')
            lines.append(f'service = "{SERVICE}"')
        lines += ['[zones]', *(f'{zone} = "sicilia"' for zone in ZONES),
                  '[listenAddrs]',
                  *(f'{key} = "{value}"' for key, value in listen.items()),
                  '[faultTolerance]', 'machines = 1', 'zones = 0',
                  'regions = 0', '[bounds]',
                  *(f'{key} = {value}' for key, value in BOUNDS.items())]
        path = self.folder / f'{name}.toml'
        path.write_text('\n'.join(lines) + '\n')
        self.specs[name] = (shlex.split(run), path)

    # Processes.

    def spawn(self, name):
        words, path = self.specs[name]
        environment = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG')
                       if key in os.environ}
        environment['BAOBABGAP_BOOT'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.children[name] = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record('process_started', name=name)

    async def start(self, attempts=2, queues=1):
        """Start all processes and workers; return whether jobs are served."""
        for name in self.specs:
            self.spawn(name)
        for worker in self.workers:
            await worker.start()
        self.version = 0
        self.queues = [
            {'name': f'r-{n}', 'host': HOST, 'pathPrefix': f'/lohu{n}/',
             'type': 'unsafe', 'timeoutMs': 1500, 'targetLatencyMs': 60,
             'priority': 0, 'service': SERVICE, 'attempts': attempts,
             'stretch': 1.6} for n in range(queues)]
        if not await self.put_configuration(30):
            return False
        return await self.wait_until_served(30)

    async def put_configuration(self, within):
        self.version += 1
        document = {
            'version': self.version, 'routes': self.queues,
            'services': [{'name': SERVICE, 'healthPath': '/health',
                          'maxConns': 64, 'protocol': 'h1', 'tls': False,
                          'admissionCheck': True, 'spare': False}],
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 262144,
                       'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000}}
        until = time.monotonic() + within
        while time.monotonic() < until:
            address = self.rng.choice(self.operators)
            for _ in range(3):
                status, answer = await web.call(
                    address, 'POST', '/api/Config.Put', document)
                if status != 307:
                    break
                address = answer.removeprefix('http://').partition('/')[0]
            if status == 200:
                self.record('config_acked', version=self.version)
                return True
            await asyncio.sleep(0.2)
        return False

    async def wait_until_served(self, within):
        """Send best-effort jobs until one completes, then let all report."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            job = self.new_id()
            await self.submit(job, [{'count': 1, 'cpu': 100, 'memMb': 16,
                                     'estimateMs': 20}], [20], volatile=True)
            if self.record.of('answer', job=job)[-1]['status'] == 200:
                break
            await asyncio.sleep(0.2)
        else:
            return False
        await asyncio.sleep(3)
        return True

    async def stop(self):
        for child in self.children.values():
            if child.poll() is None:
                child.kill()
        for child in self.children.values():
            child.wait()
        for worker in self.workers:
            if worker.up:
                await worker.crash()
        keep = os.environ.get('KEEP')
        if keep:
            # Settings and logs, for a look at them.
            shutil.rmtree(keep, ignore_errors=True)
            shutil.copytree(self.folder, keep)
        shutil.rmtree(self.folder, ignore_errors=True)

    # Clients.

    def new_id(self):
        return f'{self.rng.getrandbits(64):016x}'

    async def submit(self, job, steps, ms, *, volatile=False, queue=0,
                     entry=None, deadline=1500):
        body = {'spec': json.dumps({'ms': ms}), 'steps': steps}
        if volatile:
            body['bestEffort'] = True
        for number, step in enumerate(steps):
            self.demands[job, number] = {
                key: step.get(key, 0) for key in ('cpu', 'memMb', 'gpu')}
        return await self.request('POST', f'/lohu{queue}/{job}', body, job=job,
                                  entry=entry, deadline=deadline)

    async def request(self, method, path, body=None, *, job='', entry=None,
                      deadline=1500):
        address = self.entries[entry] if entry is not None else (
            self.rng.choice(self.entries))
        self.record('send', method=method, path=path, job=job, entry=address)
        status, answer = await web.call(
            address, method, path, body, host=HOST, timeout=deadline / 1000,
            headers=(f'X-Baobabgap-Deadline-Ms: {deadline}',))
        self.record('answer', method=method, path=path, job=job,
                    status=status, answer=answer)
        return status, answer

    async def submit_stored(self, job, steps, ms, *, within=20, queue=0):
        """Send a job until it is accepted; return whether it is."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            status, _ = await self.submit(job, steps, ms, queue=queue)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job, queue=0):
        status, answer = await self.request('GET', f'/lohu{queue}/{job}', job=job)
        if status == 200:
            return answer.get('state')
        return status

    async def wait_state(self, job, states, within, queue=0):
        until = time.monotonic() + within
        state = None
        while time.monotonic() < until:
            state = await self.state(job, queue)
            if state in states:
                return state
            await asyncio.sleep(0.25)
        return state


def run(main, folder, limit_s=115):
    """Run a case; exit with 1 if its rule was broken, 0 if it held, else 2.

    `main(record, trouble)` returns a list of breaches, or None if the case
    couldn't run.
    """
    record = Record(Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        breaches = asyncio.run(asyncio.wait_for(main(record, trouble), limit_s))
    except asyncio.TimeoutError:
        record('time_limit')
        breaches = None
    except Exception as error:
        record('case_failed', error=repr(error), trace=traceback.format_exc())
        breaches = None
    for breach in breaches or ():
        record('breach', text=breach)
        print(breach)
    record('result', exit=2 if breaches is None else int(bool(breaches)))
    record.write()
    sys.exit(2 if breaches is None else int(bool(breaches)))
