"""A small deployment of the real programs, with stand-ins around it.

Starts the roles with the commands of `deploy/system.toml`, one process a
machine, each on a loopback address of its own. Workers, clients and the
operator are threads of this process that follow PROTOCOL.md. Only the
standard library is used.
"""

import http.client
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
import json
import os
from pathlib import Path
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = Path(__file__).resolve().parents[2]
ZONES = ('catania', 'palermo', 'agrigento')
HOST = 'records.example'
PREFIX = '/records/'
# The bounds of sites/etv-wellrec.toml, as DEPLOY.md shows them.
BOUNDS = """
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
"""


class Unrunnable(Exception):
    """The case could not be run; the script exits with 2."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.began_at = time.monotonic()
        self._lock = threading.Lock()
        self._file = open(path, 'w', encoding='utf-8')
        self.rows = []

    def now(self):
        return time.monotonic() - self.began_at

    def add(self, kind, **fields):
        with self._lock:
            row = {'t': round(self.now(), 3), 'kind': kind, **fields}
            self.rows.append(row)
            self._file.write(json.dumps(row) + '\n')
            self._file.flush()
        return row['t']

    def of(self, kind, **fields):
        return [
            row
            for row in list(self.rows)
            if row['kind'] == kind
            and all(row.get(key) == value for key, value in fields.items())
        ]


def free_ports(first, last, count):
    """Return the first of `count` ports in a row that no process uses."""
    while True:
        begin = first + secrets.randbelow(last - first)
        probes = []
        try:
            for port in range(begin, begin + count):
                probe = socket.socket()
                probes.append(probe)
                # On all addresses, so that no listener can be in the way;
                # the socket doesn't listen.
                probe.bind(('', port))
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
        return begin


def call(address, method, path, document=None, timeout_s=1.0, headers=None):
    """Send one request; return status, headers and document, or None.

    None means no complete answer: the call may have been executed.
    """
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    body = None if document is None else json.dumps(document)
    sent = {'Content-Type': 'application/json', **(headers or {})}
    try:
        connection.request(method, path, body, sent)
        response = connection.getresponse()
        content = response.read()
        try:
            answer = json.loads(content) if content else None
        except ValueError:
            answer = None
        return response.status, dict(response.getheaders()), answer
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Worker:
    """A worker of PROTOCOL.md, *Running tasks* and *Service discovery*.

    A task's `spec` is a JSON text whose `work_ms` says how long it works;
    `fail` (a number) says how many of its first runs end as `failed`.
    """

    def __init__(self, record, number, address, agent_address, zone, service):
        self.record = record
        self.number = number
        self.address = address
        self.agent_address = agent_address
        self.zone = zone
        self.service = service
        self.id = f'i-{number:02d}'
        self.labels = ['a', f'r1-{number // 3}']
        self.capacity = {'cpu': 32000, 'memMb': 65536, 'gpu': 0}
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.server = None
        self.life = 0
        self.state = 'ready'
        # The job whose next start gets no answer, and is carried out later.
        self.late_job = ''
        self.late_s = 0.0
        # Rows of another writer that stand among those of the runs.
        self.odd_rows = []

    # Life cycle.

    def start(self, first_heartbeat_s=0.0):
        """Start a new life, under the same id, at the same address."""
        with self.lock:
            self.life += 1
            life = self.life
            self.born = int(time.time() * 1000)
            self.clock_from = time.monotonic() - 5
            self.fence = 0
            self.until_ms = 0
            self.has_lapsed = True
            self.running = {}
            self.ended = []
            self.next_end = 1
            self.highest_over = {}
            self.state = 'ready'
            self.connections = set()
        host, _, port = self.address.rpartition(':')
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def setup(self):
                super().setup()
                self.connection.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
                )
                worker.connections.add(self.connection)

            def log_message(self, *args):
                pass

            def do_POST(self):
                size = int(self.headers.get('Content-Length', 0))
                document = json.loads(self.rfile.read(size) or b'{}')
                expected = self.headers.get('X-Baobabgap-Expect-Instance')
                if worker.life != life:
                    self.close_connection = True
                    return
                if expected and expected != worker.id:
                    status, answer = 421, {'clockMs': worker.clock_ms()}
                elif worker.leaves_unanswered(self.path, document, expected):
                    # The caller gives up first.
                    time.sleep(1.0)
                    status = None
                else:
                    status, answer = worker.handle(self.path, document, life)
                if worker.life != life or status is None:
                    self.close_connection = True
                    return
                body = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header('Content-Type', 'application/json')
                self.send_header('Content-Length', str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass

        self.server = Server((host, int(port)), Handler)
        threading.Thread(
            target=self.server.serve_forever, args=(0.05,), daemon=True
        ).start()
        threading.Thread(
            target=self._send_heartbeats,
            args=(life, first_heartbeat_s),
            daemon=True,
        ).start()
        threading.Thread(
            target=self._work, args=(life,), daemon=True
        ).start()
        self.record.add(
            'worker_started',
            worker=self.number,
            id=self.id,
            born=self.born,
            labels=self.labels,
        )

    def crash(self):
        """End at once: all that runs is lost, and nothing is sent."""
        with self.lock:
            self.life += 1
            lost = [list(key) for key in self.running]
            self.running = {}
            server, self.server = self.server, None
            self.changed.notify_all()
        server.shutdown()
        server.server_close()
        for connection in list(self.connections):
            try:
                connection.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    b'\x01\x00\x00\x00\x00\x00\x00\x00',
                )
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.record.add('worker_crashed', worker=self.number, lost=lost)

    def stop(self):
        if self.server is not None:
            self.crash()

    # The clock and the work.

    def clock_ms(self):
        return int(1000 * (time.monotonic() - self.clock_from))

    def _work(self, life):
        while True:
            with self.lock:
                if self.life != life:
                    return
                now = time.monotonic()
                has_lapsed = self.clock_ms() > self.until_ms
                if has_lapsed and not self.has_lapsed:
                    self.record.add('lease_lapsed', worker=self.number)
                self.has_lapsed = has_lapsed
                if self.running and has_lapsed:
                    for key in list(self.running):
                        self._end(key, 'lapsed')
                for key, run in list(self.running.items()):
                    if now >= run['ends_at']:
                        self._end(key, run['how'])
            time.sleep(0.002)

    def _end(self, key, how):
        """End a run; the lock is held."""
        del self.running[key]
        task, number = key
        self.highest_over[task] = max(self.highest_over.get(task, 0), number)
        self.ended.append([self.next_end, task, number, how, ''])
        self.next_end += 1
        self.record.add(
            'run_ended', worker=self.number, task=task, run=number, how=how
        )
        self.changed.notify_all()

    # Calls.

    def leaves_unanswered(self, path, document, expected):
        """Return whether to carry out a call only `late_s` later.

        That is the first start of a task of `late_job`. It reaches the
        worker that is there then, if that has the id that it names.
        """
        with self.lock:
            if path != '/api/run-start' or not self.late_job:
                return False
            if not document['task'].startswith(self.late_job):
                return False
            self.late_job = ''

        def carry_out():
            status, answer = 0, None
            if self.server is not None and self.id == expected:
                status, answer = self.handle(path, document, self.life)
            self.record.add(
                'late_call_carried_out',
                worker=self.number,
                task=document['task'],
                run=document['run'],
                status=status,
                answer=answer,
            )

        timer = threading.Timer(self.late_s, carry_out)
        timer.daemon = True
        timer.start()
        self.record.add(
            'call_unanswered',
            worker=self.number,
            task=document['task'],
            run=document['run'],
        )
        return True

    def handle(self, path, document, life):
        fence = int(document.get('fence', 0))
        with self.lock:
            if fence < self.fence:
                return 409, {'clockMs': self.clock_ms(), 'reason': 'fence'}
            self.fence = fence
            match path:
                case '/api/run-start':
                    return self._start_run(document)
                case '/api/run-stop':
                    return self._stop_run(document)
                case '/api/hold':
                    return self._hold(document, life)
        return 400, {'clockMs': self.clock_ms()}

    def _renew(self, until_ms):
        latest = self.clock_ms() + 1000
        self.until_ms = max(self.until_ms, min(until_ms, latest))

    def _start_run(self, document):
        task, number = document['task'], document['run']
        clock_ms = self.clock_ms()
        answer = {'clockMs': clock_ms, 'born': self.born}
        if (task, number) in self.running:
            return 200, answer
        if number <= self.highest_over.get(task, 0) or any(
            name == task and run >= number for name, run in self.running
        ):
            self._renew(document['untilMs'])
            return 409, {**answer, 'reason': 'old'}
        if document['untilMs'] <= clock_ms:
            return 409, {**answer, 'reason': 'late'}
        self._renew(document['untilMs'])
        spec = json.loads(document['spec'])
        how = 'failed' if spec.get('fail', 0) else 'done'
        self.running[task, number] = {
            'ends_at': time.monotonic() + spec['work_ms'] / 1000,
            'how': how,
        }
        self.record.add(
            'run_started',
            worker=self.number,
            task=task,
            run=number,
            labels=self.labels,
        )
        return 200, answer

    def _stop_run(self, document):
        task, number = document['task'], document['run']
        if (task, number) in self.running:
            self._end((task, number), 'stopped')
        self.highest_over[task] = max(self.highest_over.get(task, 0), number)
        self.record.add(
            'stop_ordered', worker=self.number, task=task, run=number
        )
        return 200, {'clockMs': self.clock_ms(), 'born': self.born}

    def _hold(self, document, life):
        seen_upto = document.get('seenUpto', 0)
        for number, task, run, how, _ in self.ended:
            if number <= seen_upto:
                self.record.add(
                    'end_noted',
                    worker=self.number,
                    task=task,
                    run=run,
                    how=how,
                )
        self.ended = [row for row in self.ended if row[0] > seen_upto]
        if document.get('untilMs'):
            self._renew(document['untilMs'])
        until = time.monotonic() + document.get('waitMs', 0) / 1000
        while not self.ended and self.life == life:
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            self.changed.wait(left_s)
        if self.life != life:
            return None, None
        running = [
            [task, number, '', 50] for task, number in self.running
        ]
        return 200, {
            'clockMs': self.clock_ms(),
            'born': self.born,
            'running': [*running, *self.odd_rows],
            'ended': self.ended[:500],
        }

    # Heartbeats.

    def _send_heartbeats(self, life, first_s):
        sequence = 0
        time.sleep(first_s)
        while self.life == life:
            sequence += 1
            call(
                self.agent_address,
                'POST',
                f'/api/Instances.Heartbeat/{self.id}',
                {
                    'service': self.service,
                    'address': self.address,
                    'zone': self.zone,
                    'version': 'v1',
                    'slots': 8,
                    'state': self.state,
                    'coldLeftMs': 0,
                    'capacity': self.capacity,
                    'labels': self.labels,
                    'clockMs': self.clock_ms(),
                    'seq': sequence,
                    'born': self.born,
                },
            )
            deadline = time.monotonic() + 1.5
            while self.life == life and time.monotonic() < deadline:
                time.sleep(0.05)


class Machine:
    """A machine of the system with its one process."""

    def __init__(self, deployment, name, role, ip, zone):
        self.deployment = deployment
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process = None
        self.bootstrap = True
        self.log_path = deployment.folder / f'{name}.log'

    def start(self):
        self._write_settings()
        command = self.deployment.commands[self.role].split()
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['BAOBABGAP_BOOT'] = str(self._settings_path)
        with open(self.log_path, 'ab') as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.deployment.record.add('process_started', machine=self.name)

    def kill(self):
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()
        self.deployment.record.add('process_killed', machine=self.name)

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)
        self.deployment.record.add('process_frozen', machine=self.name)

    def thaw(self):
        self.process.send_signal(signal.SIGCONT)
        self.deployment.record.add('process_thawed', machine=self.name)

    def terminate(self):
        self.process.terminate()
        self.deployment.record.add('process_terminated', machine=self.name)

    @property
    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    def log(self):
        return self.log_path.read_text(encoding='utf-8', errors='replace')

    @property
    def _settings_path(self):
        return self.deployment.folder / f'{self.name}.toml'

    def _write_settings(self):
        deployment = self.deployment
        listen = {'control': f'{self.ip}:{deployment.port}'}
        lines = [
            f'nodeName = "{self.name}"',
            f'role = "{self.role}"',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "sicilia"',
            f'internalPorts = [{deployment.internal_port},'
            f'{deployment.internal_port + 15}]',
            f'seeds = {json.dumps(deployment.seeds)}',
            f'bootstrap = {json.dumps(self.bootstrap)}',
            'heartbeatMs = 1500',
            'config_mode = "highest"',
            'orders = "rpc"',
        ]
        if self.role == 'control':
            lines.append(f'dataDir = "{deployment.folder / self.name}"')
        if self.role == 'entry':
            listen['front'] = f'{self.ip}:{deployment.port + 1}'
            listen['ready'] = f'{self.ip}:{deployment.port + 2}'
        if self.role == 'agent':
            lines.append(f'app = "{self.ip}:{deployment.port + 3}"')
        lines += ['[zones]', *(f'{zone} = "sicilia"' for zone in ZONES)]
        lines += ['[listenAddrs]']
        lines += [f'{key} = "{value}"' for key, value in listen.items()]
        lines += ['[faultTolerance]', 'machines = 1', 'zones = 0']
        text = '\n'.join(lines) + '\n' + BOUNDS
        self._settings_path.write_text(text, encoding='utf-8')


class Deployment:
    """Five control hosts, entries and workers with their agents."""

    SERVICE = 'desk'

    def __init__(self, record, entries=3, workers=11, hosts=5):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            roles = tomllib.load(file)['roles']
        self.commands = {name: role['run'] for name, role in roles.items()}
        if not (ROOT / 'target' / 'deps').is_dir():
            raise Unrunnable('run the build of the deploy file first')
        # A subnet of the loopback network that is hardly in use.
        self.net = f'127.{40 + secrets.randbelow(80)}.{secrets.randbelow(250)}'
        self.port = free_ports(20000, 29000, 4)
        self.internal_port = free_ports(30000, 31000, 16)
        self.seeds = [f'{self.net}.{10 + n}:{self.port}' for n in range(3)]
        self.hosts = [
            Machine(self, f'core-{n}', 'control', f'{self.net}.{10 + n}',
                    ZONES[n % 3])
            for n in range(hosts)
        ]
        self.entries = [
            Machine(self, f'front-{n}', 'entry', f'{self.net}.{30 + n}',
                    ZONES[n % 3])
            for n in range(entries)
        ]
        self.agents = [
            Machine(self, f'side-{n}', 'agent', f'{self.net}.{50 + n}',
                    ZONES[n % 3])
            for n in range(workers)
        ]
        self.workers = [
            Worker(
                record,
                n,
                f'{agent.ip}:{self.port + 3}',
                f'{agent.ip}:{self.port}',
                agent.zone,
                self.SERVICE,
            )
            for n, agent in enumerate(self.agents)
        ]
        self.version = 0

    @property
    def machines(self):
        return [*self.hosts, *self.entries, *self.agents]

    def start(self):
        """Start all; return once a job has run on the deployment."""
        for worker in self.workers:
            worker.start()
        for machine in self.machines:
            machine.start()
        give_up_at = time.monotonic() + 30
        while not self.put_configuration():
            if time.monotonic() > give_up_at:
                raise Unrunnable('the first configuration is not accepted')
            time.sleep(0.3)
        for machine in self.hosts:
            machine.bootstrap = False
        client = Client(self, self.entries[0])
        while True:
            job_id = new_id()
            answer = client.submit(
                job_id, work_ms=20, best_effort=True, timeout_s=3
            )
            if answer and answer[0] == 200:
                break
            if time.monotonic() > give_up_at:
                raise Unrunnable('the first job is not served')
            time.sleep(0.3)
        self.await_agents(give_up_at)
        self.record.add('ready')

    def await_agents(self, give_up_at):
        """Wait until all workers have been reported to a leader."""
        while time.monotonic() < give_up_at:
            logs = ''.join(host.log() for host in self.hosts)
            if all(
                f'"agent":"side-{n}"' in logs.replace('": ', '":')
                for n in range(len(self.agents))
            ):
                time.sleep(0.5)
                return
            time.sleep(0.2)
        raise Unrunnable('an agent was not reported')

    def configuration(self, version, **queue):
        return {
            'version': version,
            'routes': [
                {
                    'name': 'r-records',
                    'host': HOST,
                    'pathPrefix': PREFIX,
                    'type': 'unsafe',
                    'timeoutMs': 1500,
                    'targetLatencyMs': 60,
                    'priority': 0,
                    'service': self.SERVICE,
                    'attempts': 4,
                    'stretch': 1.6,
                    **queue,
                }
            ],
            'services': [
                {
                    'name': self.SERVICE,
                    'healthPath': '/health',
                    'maxConns': 64,
                    'protocol': 'h1',
                    'tls': False,
                    'admissionCheck': True,
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

    def put_configuration(self, **queue):
        """Send the next configuration once around; return if acknowledged."""
        self.version += 1
        document = self.configuration(self.version, **queue)
        return self.operator('POST', '/api/Config.Put', document) is not None

    def operator(self, method, path, document=None):
        """Ask the hosts in turn, as an operator; return a 200 answer."""
        for machine in [*self.hosts, *self.entries]:
            address = f'{machine.ip}:{self.port}'
            for _ in range(3):
                answer = call(address, method, path, document, 1.0)
                if answer is None or answer[0] != 307:
                    break
                location = answer[1]['Location']
                address = location.split('/')[2]
            self.record.add(
                'operator_answer',
                host=machine.name,
                path=path,
                version=(document or {}).get('version'),
                status=answer[0] if answer else None,
            )
            if answer is not None and answer[0] == 200:
                return answer[2]
        return None

    def leader(self, timeout_s=10.0):
        """Return the control host that serves operators itself."""
        give_up_at = time.monotonic() + timeout_s
        while time.monotonic() < give_up_at:
            for machine in self.hosts:
                if not machine.is_alive:
                    continue
                answer = call(
                    f'{machine.ip}:{self.port}', 'GET', '/api/Config.Get'
                )
                if answer and answer[0] == 200:
                    return machine
            time.sleep(0.1)
        raise Unrunnable('there is no leader')

    def close(self):
        for machine in self.machines:
            if machine.is_alive:
                machine.kill()
        for worker in self.workers:
            worker.stop()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            target = Path(keep)
            target.mkdir(parents=True, exist_ok=True)
            for machine in self.machines:
                if machine.log_path.exists():
                    (target / machine.log_path.name).write_bytes(
                        machine.log_path.read_bytes()
                    )
        self._temporary.cleanup()


def new_id():
    return secrets.token_hex(8)


class Client:
    """A client whose connections go to one entry."""

    def __init__(self, deployment, entry):
        self.record = deployment.record
        self.address = f'{entry.ip}:{deployment.port + 1}'
        self.name = entry.name

    def submit(
        self,
        job_id,
        work_ms,
        *,
        count=1,
        steps=None,
        best_effort=False,
        estimate_ms=None,
        cpu=3100,
        deadline_ms=1500,
        timeout_s=None,
        fail=0,
        requires='',
    ):
        row = {
            'count': count,
            'cpu': cpu,
            'memMb': 64,
            'estimateMs': estimate_ms or max(1, work_ms),
        }
        if requires:
            row['requires'] = requires
        document = {
            'spec': json.dumps({'work_ms': work_ms, 'fail': fail}),
            'steps': steps or [row],
        }
        if best_effort:
            document['bestEffort'] = True
        return self._send('POST', job_id, document, deadline_ms, timeout_s)

    def read(self, job_id, deadline_ms=1500):
        return self._send('GET', job_id, None, deadline_ms, None)

    def cancel(self, job_id, deadline_ms=1500):
        return self._send('DELETE', job_id, None, deadline_ms, None)

    def _send(self, method, job_id, document, deadline_ms, timeout_s):
        self.record.add('sent', method=method, job=job_id, entry=self.name)
        answer = call(
            self.address,
            method,
            PREFIX + job_id,
            document,
            timeout_s or deadline_ms / 1000,
            {'Host': HOST, 'X-Baobabgap-Deadline-Ms': str(deadline_ms)},
        )
        self.record.add(
            'answered',
            method=method,
            job=job_id,
            entry=self.name,
            status=answer[0] if answer else None,
            body=answer[2] if answer else None,
        )
        return answer


def run_case(script, case):
    """Run `case(deployment, trouble)`; it returns a text if a rule broke.

    Ends the process with 1 if it did, 0 if not, 2 if it could not run.
    """
    record = Record(Path(script).resolve().parent / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    deployment = None
    status = 2
    try:
        deployment = case.__globals__.get('make', Deployment)(record)
        broken = case(deployment, trouble)
        record.add('verdict', trouble=trouble, broken=broken)
        print(broken or 'the rule held')
        status = 1 if broken else 0
    except Unrunnable as error:
        record.add('could_not_run', reason=str(error))
        print(f'could not run: {error}', file=sys.stderr)
    except BaseException as error:
        record.add('could_not_run', reason=repr(error))
        print(f'could not run: {error!r}', file=sys.stderr)
        if not isinstance(error, Exception):
            raise
    finally:
        if deployment is not None:
            deployment.close()
        sys.stdout.flush()
        os._exit(status)
