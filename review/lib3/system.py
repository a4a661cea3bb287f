"""A small deployment of real processes on loopback addresses.

Each machine has an address of its own in one random /24 network of
127.0.0.0/8, and the same ports on all of them, as DEPLOY.md says.
"""

import http.client
import json
import os
from pathlib import Path
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = Path(__file__).resolve().parents[2]
LIB = Path(__file__).resolve().parent
ZONES = ('catania', 'palermo', 'agrigento')
SERVICE = 'huvo11a'
HOST = 'nony24.example'
PREFIX = '/lohu930/'

TABLES = '''
[zones]
catania = "sicilia"
palermo = "sicilia"
agrigento = "sicilia"
[limits]
cpuShare = 0.645
cores = 1
memoryMb = 300
maxFds = 4096
linkMbps = 1000.0
diskMb = 128
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
recoveryS = 12
holdMaxMs = 1000
stopMs = 50
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farX = 1.5
checkpointS = 2
restoreMs = 250
noticeMs = 4500
moveS = 1.5
upkeepS = 2
enforceFencing = true
leaseMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000
resendMs = 1300
[cloud]
ratePerS = 60.0
duties = []
dutyPerS = 60.0
'''


def route(number=0, **fields):
    return {
        'name': f'r-{number}',
        'host': HOST,
        'pathPrefix': PREFIX if not number else f'/route{number}/',
        'type': 'unsafe',
        'timeoutMs': 1500,
        'targetLatencyMs': 60,
        'priority': 0,
        'service': SERVICE,
        'attempts': 2,
        'stretch': 1.6,
        **fields,
    }


def configuration(version, routes=None, guards=True):
    return {
        'version': version,
        'routes': routes or [route()],
        'services': [
            {
                'name': SERVICE,
                'healthPath': '/health',
                'maxConns': 64,
                'protocol': 'h1',
                'tls': False,
                'admissionCheck': guards,
                'spare': False,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 262144,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }


class Machine:
    def __init__(self, system, role, number):
        self.system, self.role, self.number = system, role, number
        self.zone = ZONES[number % 3]
        first = {'control': 10, 'entry': 50, 'agent': 100}[role]
        self.ip = f'{system.net}.{first + number}'
        self.name = f'{role}-{number}'
        self.process = None
        self.bootstrap = True
        self.seeds = None

    @property
    def control(self):
        return f'{self.ip}:{self.system.control_port}'

    def settings_path(self):
        return self.system.folder / f'{self.name}.toml'

    def write_settings(self):
        system = self.system
        ports = {'control': f'{self.ip}:{system.control_port}'}
        classes = {'control': 'core', 'entry': 'front', 'agent': 'side'}
        serves = {
            'control': ['control'], 'entry': ['front', 'control'],
            'agent': ['side'],
        }
        if self.role == 'entry':
            ports['front'] = f'{self.ip}:{system.front_port}'
            ports['ready'] = f'{self.ip}:{system.ready_port}'
        seeds = self.seeds or [m.control for m in system.controls[:3]]
        lines = [
            f'nodeName = "{self.name}"',
            f'role = "{self.role}"',
            f'machineClass = "{classes[self.role]}"',
            f'serves = {json.dumps(serves[self.role])}',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "sicilia"',
            f'internalPorts = [{system.internal}, {system.internal + 15}]',
            f'seeds = {json.dumps(seeds)}',
            f'bootstrap = {json.dumps(self.bootstrap)}',
            f'faultCounted = {json.dumps(self.role == "control")}',
            'discovery = "local"',
            'entry = "vip"',
            'heartbeatMs = 1500',
            'contracts = ["base","drain","config","cost","recover","sched"]',
            'config_mode = "highest"',
            'orders = "rpc"',
        ]
        if self.role == 'control':
            lines.append(f'dataDir = "{self.data_dir}"')
        if self.role == 'agent':
            lines.append(f'app = "{self.ip}:{system.app_port}"')
            lines.append(f'service = "{SERVICE}"')
        lines.append('[listenAddrs]')
        lines += [f'{key} = "{value}"' for key, value in ports.items()]
        text = '\n'.join(lines) + '\n' + TABLES
        temporary = self.settings_path().with_suffix('.new')
        temporary.write_text(text)
        os.replace(temporary, self.settings_path())

    @property
    def data_dir(self):
        return self.system.folder / f'{self.name}.data'

    def start(self):
        system = self.system
        self.write_settings()
        if self.role == 'control':
            self.data_dir.mkdir(exist_ok=True)
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG') if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['BAOBABGAP_BOOT'] = str(self.settings_path())
        log = open(system.folder / f'{self.name}.log', 'ab')
        self.process = subprocess.Popen(
            system.command_of(self.role), cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log,
        )
        log.close()
        system.note('machine started', machine=self.name)

    def signal(self, number):
        self.system.note(
            'signal', machine=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def log(self):
        path = self.system.folder / f'{self.name}.log'
        rows = []
        for line in path.read_bytes().splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                continue
        return rows


class WorkerProcess:
    """The worker on the machine of an agent, over all its lives."""

    def __init__(self, system, agent, cpu, guards):
        self.system, self.agent = system, agent
        self.cpu, self.guards = cpu, guards
        self.lives = 0
        self.process = None
        self.record = system.folder / f'worker-{agent.number}.jsonl'
        self.control = system.folder / f'worker-{agent.number}.json'
        self.id = ''

    def behave(self, **ways):
        """Set how the worker misbehaves; nothing to behave well."""
        self.system.note('worker behaves', worker=self.id, **ways)
        temporary = self.control.with_suffix('.new')
        temporary.write_text(json.dumps(ways))
        os.replace(temporary, self.control)

    def start(self, first_beat=0.0, same_id=False):
        system = self.system
        if not same_id or not self.id:
            self.id = f'i-{random.getrandbits(32):08x}'
        self.lives += 1
        self.process = subprocess.Popen(
            [
                sys.executable, '-S', str(LIB / 'worker.py'),
                f'--id={self.id}', f'--ip={self.agent.ip}',
                f'--port={system.app_port}',
                f'--agent={self.agent.control}', f'--service={SERVICE}',
                f'--zone={self.agent.zone}',
                f'--rack=r1-{self.agent.number // 3}',
                f'--cpu={self.cpu}', f'--guards={int(self.guards)}',
                f'--record={self.record}', f'--first-beat={first_beat}',
                f'--control={self.control}',
            ],
            stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL,
        )
        system.note('worker started', worker=self.id, on=self.agent.name)

    def kill(self):
        self.system.note('worker killed', worker=self.id, on=self.agent.name)
        self.process.kill()
        self.process.wait()

    def events(self):
        if not self.record.exists():
            return []
        return [
            json.loads(line)
            for line in self.record.read_text().splitlines()
            if line.endswith('}')
        ]


class System:
    """The processes, the record and the clients' calls."""

    def __init__(self, record, controls=5, entries=3, agents=4, cpu=32000,
                 guards=True):
        # The time limit of a script ends it so; `close` then ends the others.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.record = open(record, 'w', buffering=1)
        self.lock = threading.Lock()
        self.guards = guards
        self.net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        ports = self.free_ports(5)
        (self.control_port, self.front_port, self.ready_port,
         self.app_port, self.internal) = ports
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.roles = deploy['roles']
        self.controls = [Machine(self, 'control', n) for n in range(controls)]
        self.entries = [Machine(self, 'entry', n) for n in range(entries)]
        self.agents = [Machine(self, 'agent', n) for n in range(agents)]
        self.workers = [
            WorkerProcess(self, agent, cpu, guards) for agent in self.agents
        ]

    def command_of(self, role):
        words = self.roles[role]['run'].split()
        words[0] = sys.executable if words[0] == 'python3' else words[0]
        return words

    def free_ports(self, count):
        while True:
            base = random.randint(12000, 30000)
            try:
                for port in range(base, base + 40):
                    with socket.socket() as probe:
                        probe.bind((f'{self.net}.10', port))
            except OSError:
                continue
            return [base, base + 1, base + 2, base + 3, base + 10]

    def note(self, event, **fields):
        row = {'at': round(time.time(), 4), 'event': event, **fields}
        with self.lock:
            if not self.record.closed:
                self.record.write(json.dumps(row) + '\n')

    def start(self):
        for machine in (*self.controls, *self.entries, *self.agents):
            machine.start()
        for worker in self.workers:
            worker.start(first_beat=random.uniform(0, 1.5))

    def close(self):
        everything = (*self.controls, *self.entries, *self.agents,
                      *self.workers)
        for one in everything:
            if one.process is not None and one.process.poll() is None:
                one.process.send_signal(signal.SIGCONT)
                one.process.kill()
        for one in everything:
            if one.process is not None:
                one.process.wait()
        for worker in self.workers:
            for event in worker.events():
                if event['event'] != 'beat':
                    self.record.write(json.dumps(event) + '\n')
        self.record.close()
        if os.environ.get('KEEP'):
            print('kept', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Calls.

    def call(self, address, method, path, document=None, timeout=2.0,
             headers=None, quiet=False):
        """Return (status, document); status 0 without an answer."""
        host, port = address.rsplit(':', 1)
        link = http.client.HTTPConnection(host, int(port), timeout=timeout)
        body = None if document is None else json.dumps(document)
        asked = time.time()
        status, answer = 0, None
        try:
            link.request(method, path, body, {
                'Content-Type': 'application/json', **(headers or {}),
            })
            response = link.getresponse()
            data = response.read()
            status = response.status
            location = response.getheader('Location')
            try:
                answer = json.loads(data) if data else None
            except ValueError:
                answer = None
            if location:
                answer = location
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            link.close()
        if not quiet:
            self.note(
                'call', method=method, to=address, path=path, status=status,
                answer=answer if len(str(answer)) < 200 else '(long)',
                took_ms=round(1000 * (time.time() - asked)),
            )
        return status, answer

    def client(self, method, job='', document=None, entry=0, prefix=PREFIX,
               timeout=2.0, quiet=False, deadline_ms=1500):
        machine = self.entries[entry]
        return self.call(
            f'{machine.ip}:{self.front_port}', method, prefix + job, document,
            timeout, {
                'Host': HOST, 'X-Baobabgap-Deadline-Ms': str(deadline_ms),
            }, quiet,
        )

    def operator(self, method, path, document=None, machine=None):
        """Call one machine that serves control; follow a 307 twice."""
        machine = machine or random.choice(self.controls)
        address = machine.control
        for _ in range(3):
            status, answer = self.call(
                address, method, path, document, timeout=1.0
            )
            if status != 307 or not isinstance(answer, str):
                return status, answer
            address, _, rest = answer.removeprefix('http://').partition('/')
            path = '/' + rest
        return status, answer

    def put_until_stored(self, document, within=25.0):
        give_up = time.time() + within
        while time.time() < give_up:
            if self.operator('POST', '/api/Config.Put', document)[0] == 200:
                return True
            time.sleep(0.2)
        return False

    def submit_until_accepted(self, job, document, within=20.0):
        give_up = time.time() + within
        number = 0
        while time.time() < give_up:
            status, _ = self.client(
                'POST', job, document, entry=number % len(self.entries)
            )
            if status == 200:
                return True
            number += 1
            time.sleep(0.2)
        return False

    def ready(self, within=30.0):
        """Return whether all is up: the configuration is stored, a job done.

        All agents have reported once as many one-task jobs ran everywhere.
        """
        if not self.put_until_stored(configuration(1, guards=self.guards)):
            return False
        give_up = time.time() + within
        while time.time() < give_up:
            linked = [
                agent for agent in self.agents
                if any(row.get('message_type') == 'leader_linked'
                       for row in agent.log())
            ]
            announced = [
                agent for agent in self.agents
                if any(row.get('message_type') == 'upstream_announced'
                       for row in agent.log())
            ]
            if len(linked) == len(announced) == len(self.agents):
                time.sleep(1.0)
                return True
            time.sleep(0.2)
        return False

    def leader(self):
        """Return the control machine that leads, by its log, or None."""
        best, found = -1, None
        for machine in self.controls:
            if machine.process.poll() is not None:
                continue
            for row in machine.log():
                if row.get('message_type') == 'leadership_won':
                    if row['term'] > best:
                        best, found = row['term'], machine
        return found

    def events(self):
        rows = [row for w in self.workers for row in w.events()]
        return sorted(rows, key=lambda row: row['at'])


def job_id():
    return f'{random.getrandbits(64):016x}'


def one_step(count=1, cpu=1000, ms=100, stored=True, estimate=None, **step):
    """Return a job of one step; `ms` is the work of each task."""
    document = {
        'spec': json.dumps({'ms': ms, 'cpu': cpu}),
        'steps': [
            {'count': count, 'cpu': cpu, 'memMb': 64,
             'estimateMs': estimate or ms, **step}
        ],
    }
    if not stored:
        document['bestEffort'] = True
    return document
