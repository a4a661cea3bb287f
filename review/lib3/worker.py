"""A stand-in worker: one life of it is one process.

It keeps the part of PROTOCOL.md, "Running tasks" and "Service discovery",
that plain jobs need, and writes each event as a line of JSON to its record.
How long a task works stands in `spec` ("ms"), and whether it fails ("fail").
"""

import argparse
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
import http.client
import json
import os
import random
import signal
import socket
import threading
import time


class Worker:
    def __init__(self, options):
        self.options = options
        self.cond = threading.Condition()
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.until = 0
        self.running = {}
        # The highest run of each task that was stopped or has ended.
        self.closed = {}
        self.ended = []
        self.last_number = 0
        self.seq = 0
        self.state = 'ready'
        self.lapsed = True
        # How it misbehaves, from its control file: shares of calls that are
        # carried out late ("late") or not answered ("mute"), a factor by
        # which work takes longer ("slow"), the state that it reports, and its
        # room ("cpu").
        self.ways = {}
        self.record_file = open(options.record, 'a', buffering=1)

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def note(self, event, **fields):
        row = {
            'at': round(time.time(), 4),
            'worker': self.options.id,
            'event': event,
            **fields,
        }
        self.record_file.write(json.dumps(row) + '\n')

    # All below with the lock held.

    def advance(self):
        now = self.clock()
        if self.until <= now and not self.lapsed:
            self.lapsed = True
            self.note('lease lapsed', running=len(self.running))
        for task in list(self.running):
            run = self.running[task]
            if run['ends'] <= min(now, self.until):
                self.end(task, run['how'])
            elif self.until <= now:
                self.end(task, 'lapsed')
            elif run['stop'] is not None and run['stop'] <= now:
                self.end(task, 'stopped')

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_number += 1
        self.ended.append([self.last_number, task, run['run'], how, ''])
        self.closed[task] = max(self.closed.get(task, 0), run['run'])
        self.note(
            'end', task=task, run=run['run'], how=how, number=self.last_number
        )
        self.cond.notify_all()

    def free(self):
        cpu = self.ways.get('cpu', self.options.cpu)
        return cpu - sum(run['cpu'] for run in self.running.values())

    def set_until(self, until):
        if until:
            until = min(until, self.clock() + 1000)
            self.until = max(self.until, until)
            if self.until > self.clock():
                self.lapsed = False

    def start(self, doc):
        self.advance()
        clock = {'clockMs': self.clock(), 'born': self.born}
        if doc.get('fence', 0) < self.fence:
            return 409, {**clock, 'reason': 'fence'}
        self.fence = doc.get('fence', 0)
        task, run = doc['task'], doc['run']
        held = self.running.get(task)
        if held is not None and held['run'] == run:
            self.set_until(doc['untilMs'])
            return 200, clock
        if held is not None or run <= self.closed.get(task, 0):
            self.set_until(doc['untilMs'])
            self.note('refused', task=task, run=run, reason='old')
            return 409, {**clock, 'reason': 'old'}
        if doc['untilMs'] <= self.clock():
            return 409, {**clock, 'reason': 'late'}
        spec = json.loads(doc['spec'] or '{}')
        cpu = spec.get('cpu', 1000)
        if self.options.guards and cpu > self.free():
            self.set_until(doc['untilMs'])
            return 409, {**clock, 'reason': 'room'}
        self.set_until(doc['untilMs'])
        self.running[task] = {
            'run': run,
            'ends': self.clock()
            + spec.get('ms', 100) * self.ways.get('slow', 1),
            'how': 'failed' if spec.get('fail') else 'done',
            'stop': None,
            'cpu': cpu,
        }
        self.note('start', task=task, run=run, fence=self.fence, used=sum(
            r['cpu'] for r in self.running.values()))
        return 200, clock

    def stop(self, doc):
        self.advance()
        clock = {'clockMs': self.clock(), 'born': self.born}
        if doc.get('fence', 0) < self.fence:
            return 409, {**clock, 'reason': 'fence'}
        self.fence = doc.get('fence', 0)
        task, run = doc['task'], doc['run']
        held = self.running.get(task)
        if held is not None and held['run'] <= run:
            if held['stop'] is None:
                held['stop'] = self.clock() + 10
                self.note('stop', task=task, run=run)
        else:
            self.closed[task] = max(self.closed.get(task, 0), run)
        return 200, clock

    def hold(self, doc):
        self.advance()
        if doc.get('fence', 0) < self.fence:
            clock = {'clockMs': self.clock(), 'born': self.born}
            return 409, {**clock, 'reason': 'fence'}
        self.fence = doc.get('fence', 0)
        self.set_until(doc.get('untilMs', 0))
        seen = doc.get('seenUpto', 0)
        for row in self.ended:
            if row[0] <= seen:
                self.note(
                    'noted', task=row[1], run=row[2], how=row[3],
                    number=row[0],
                )
        self.ended = [row for row in self.ended if row[0] > seen]
        give_up = self.clock() + doc.get('waitMs', 0)
        while not self.ended and self.clock() < give_up:
            self.cond.wait((give_up - self.clock()) / 1000)
            self.advance()
        rows = []
        for task, run in self.running.items():
            rows.append([task, run['run'], '', 50])
        return 200, {
            'clockMs': self.clock(),
            'born': self.born,
            'running': rows,
            'ended': self.ended[:500],
        }

    # Threads.

    def tick(self):
        look_at = 0.0
        while True:
            time.sleep(0.004)
            with self.cond:
                self.advance()
            if self.options.control and time.monotonic() > look_at:
                look_at = time.monotonic() + 0.05
                try:
                    with open(self.options.control) as file:
                        self.ways = json.load(file)
                except (OSError, ValueError):
                    continue
                state = self.ways.get('state', 'ready')
                if state != self.state:
                    self.state = state
                    if self.state == 'leaving':
                        self.beat('Leave')
                        os._exit(0)
                    threading.Thread(target=self.beat, daemon=True).start()

    def beat(self, path='Heartbeat'):
        options = self.options
        with self.cond:
            self.seq += 1
            body = {
                'service': options.service,
                'address': f'{options.ip}:{options.port}',
                'zone': options.zone,
                'version': 'v1',
                'slots': 8,
                'state': self.state,
                'coldLeftMs': 0,
                'capacity': {
                    'cpu': self.ways.get('cpu', options.cpu), 'memMb': 65536, 'gpu': 0,
                },
                'labels': ['a', options.rack],
                'clockMs': self.clock(),
                'seq': self.seq,
                'born': self.born,
            }
        host, port = options.agent.rsplit(':', 1)
        link = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            link.request(
                'POST', f'/api/Instances.{path}/{options.id}',
                json.dumps(body), {'Content-Type': 'application/json'},
            )
            status = link.getresponse().status
        except OSError:
            status = 0
        finally:
            link.close()
        self.note('beat', state=body['state'], status=status)
        return status

    def beats(self):
        time.sleep(self.options.first_beat)
        while True:
            began = time.monotonic()
            self.beat()
            time.sleep(max(0.05, 1.5 - (time.monotonic() - began)))


def handler_of(worker):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'
        disable_nagle_algorithm = True

        def setup(self):
            super().setup()
            self.connection.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )

        def log_message(self, *args):
            pass

        def do_GET(self):
            self.answer(200, {})

        def do_POST(self):
            length = int(self.headers.get('Content-Length', 0))
            doc = json.loads(self.rfile.read(length) or b'{}')
            expected = self.headers.get('X-Baobabgap-Expect-Instance')
            if expected and expected != worker.options.id:
                self.answer(421, {})
                return
            call = {
                '/api/run-start': worker.start,
                '/api/run-stop': worker.stop,
                '/api/hold': worker.hold,
            }.get(self.path)
            if call is None:
                self.answer(404, {})
                return
            ways = worker.ways
            if random.random() < ways.get('late', 0):
                threading.Thread(
                    target=self.carry_out_late, args=(call, doc), daemon=True
                ).start()
                time.sleep(3)
                self.close_connection = True
                return
            with worker.cond:
                status, document = call(doc)
            if random.random() < ways.get('mute', 0):
                time.sleep(3)
                self.close_connection = True
                return
            self.answer(status, document)

        def carry_out_late(self, call, doc):
            time.sleep(random.uniform(2, 12))
            with worker.cond:
                worker.note(
                    'late call', task=doc.get('task', ''), run=doc.get('run')
                )
                call({**doc, 'waitMs': 0})

        def answer(self, status, document):
            body = json.dumps(document).encode()
            head = (
                f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                f'X-Baobabgap-Instance-Id: {worker.options.id}\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            )
            try:
                self.wfile.write(head.encode() + body)
            except OSError:
                self.close_connection = True

    return Handler


class Server(ThreadingHTTPServer):
    def handle_error(self, request, client_address):
        """A caller that is killed resets its connections."""

    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True


def main():
    parser = argparse.ArgumentParser()
    for name in ('id', 'ip', 'agent', 'service', 'zone', 'rack', 'record',
                 'control'):
        parser.add_argument(f'--{name}')
    parser.add_argument('--port', type=int)
    parser.add_argument('--cpu', type=int, default=32000)
    parser.add_argument('--guards', type=int, default=1)
    parser.add_argument('--first-beat', type=float, default=0.0)
    worker = Worker(parser.parse_args())
    server = Server((worker.options.ip, worker.options.port),
                    handler_of(worker))
    worker.note('born', born=worker.born, pid=os.getpid())
    threading.Thread(target=worker.tick, daemon=True).start()
    threading.Thread(target=worker.beats, daemon=True).start()
    signal.signal(signal.SIGTERM, lambda *args: os._exit(0))
    server.serve_forever()


if __name__ == '__main__':
    main()
