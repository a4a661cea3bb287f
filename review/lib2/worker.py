"""A stand-in worker that follows PROTOCOL.md, section "Running tasks".

All workers of a case run in one asyncio loop. The durations of tasks come
from the job's `spec`, a JSON text: {"ms": [milliseconds by step]}.
"""

import asyncio
import json
import time

import web

HOLD_MAX_MS = 1000
STOP_MS = 50
HEARTBEAT_S = 1.5


class Worker:
    """One worker beside one agent; `crash` and `restart` change its life."""

    def __init__(self, record, name, address, agent_address, service, zone,
                 capacity, labels, guards=True):
        self.record = record
        self.name = name
        self.address = address
        self.agent_address = agent_address
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.labels = labels
        self.guards = guards
        self.server = None
        self.life = 0
        self.tasks = []
        # Whether the next life has the same id.
        self.keeps_id = False
        # Faults, set by the case.
        # Called with each order; if true, the order is kept unanswered in
        # `held`, and the case carries it out later.
        self.must_hold = lambda path, document: False
        self.held = None
        self.shed = False
        self.fails = lambda task, run: False
        self.demand_of = lambda task: {}

    # Life.

    async def start(self):
        self.life += 1
        self.id = f'i-{self.name}'
        if not self.keeps_id:
            self.id += f'-{self.life}'
        self.born = int(time.time() * 1000)
        self.clock0 = time.monotonic()
        self.fence = 0
        self.until = 0
        self.running = {}
        self.ended = []
        self.ends = 0
        self.highest = {}
        self.state = 'ready'
        self.seq = 0
        self.changed = asyncio.Condition()
        self.up = True
        self.server = await web.serve(self.address, self.handle)
        life = self.life
        self.tasks = [
            asyncio.create_task(self._beat(life)),
            asyncio.create_task(self._watch_lease(life)),
        ]
        self.record('worker_up', worker=self.name, id=self.id)

    async def crash(self):
        """Everything ends; the address refuses connections."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        for run in self.running.values():
            run['timer'].cancel()
            self.record('lost', worker=self.name, task=run['task'], run=run['run'])
        self.running = {}
        await web.close(self.server)
        self.record('worker_down', worker=self.name, id=self.id)

    def clock(self):
        return int(1000 * (time.monotonic() - self.clock0))

    async def drain(self):
        """Say so in a heartbeat; return whether it is acknowledged."""
        self.state = 'draining'
        self.record('drain_begins', worker=self.name)
        return await self._send_beat()

    async def leave(self):
        """Send the leave notice, then end."""
        await web.call(self.agent_address, 'POST',
                       f'/api/Instances.Leave/{self.id}',
                       {'born': self.born}, timeout=1.0)
        self.record('leave', worker=self.name)
        await self.crash()

    async def _beat(self, life):
        while self.up and self.life == life:
            await self._send_beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _send_beat(self):
        self.seq += 1
        state = self.state
        body = {
            'service': self.service, 'address': self.address,
            'zone': self.zone, 'version': 'v1', 'slots': 8, 'state': state,
            'coldLeftMs': 0, 'capacity': self.capacity, 'labels': self.labels,
            'clockMs': self.clock(), 'seq': self.seq, 'born': self.born,
        }
        if state == 'draining':
            body['remainingMs'] = 2000
        status, _ = await web.call(
            self.agent_address, 'POST',
            f'/api/Instances.Heartbeat/{self.id}', body, timeout=1.0)
        if status == 200 and state == 'draining':
            self.record('drain_acked', worker=self.name)
            return True
        return False

    async def _watch_lease(self, life):
        held = False
        while self.up and self.life == life:
            await asyncio.sleep(0.005)
            holds = self.clock() <= self.until
            if held and not holds:
                self.record('lease_lapsed', worker=self.name)
            held = holds
            if not holds:
                for run in list(self.running.values()):
                    self._end(run, 'lapsed')

    # Calls of the agent.

    async def handle(self, method, path, headers, body):
        expected = headers.get('x-baobabgap-expect-instance')
        if expected and expected != self.id:
            return 421, {}
        document = json.loads(body)
        if path == '/api/hold':
            return await self._hold(document)
        if path not in ('/api/run-start', '/api/run-stop'):
            return 404, {}
        if self.must_hold(path, document):
            self.held = document
            self.record('unanswered', worker=self.name, path=path,
                        task=document['task'], run=document['run'])
            await asyncio.sleep(30)
            return None
        return self._carry_out(path, document)

    def carry_out_held(self):
        """Carry out the start that was kept."""
        document, self.held = self.held, None
        status, _ = self._carry_out('/api/run-start', document, late=True)
        self.record('carried_out_late', worker=self.name,
                    task=document['task'], run=document['run'], status=status)

    def _carry_out(self, path, document, late=False):
        fence = document.get('fence', 0)
        if fence < self.fence:
            return 409, {'clockMs': self.clock(), 'reason': 'fence'}
        self.fence = fence
        if path == '/api/run-stop':
            return self._stop(document)
        if self.shed:
            self.record('shed', worker=self.name, task=document['task'])
            return 503, {}
        return self._start(document, late)

    def _extend(self, until):
        self.until = max(self.until, min(until, self.clock() + HOLD_MAX_MS))

    def _refuse(self, reason, document):
        self.record('rejected', worker=self.name, task=document['task'],
                    run=document['run'], reason=reason)
        return 409, {'clockMs': self.clock(), 'reason': reason}

    def _start(self, document, late):
        task, run = document['task'], document['run']
        if document['untilMs'] <= self.clock():
            return self._refuse('late', document)
        if (task, run) in self.running:
            return 200, {'clockMs': self.clock()}
        if run <= self.highest.get(task, 0):
            self._extend(document['untilMs'])
            return self._refuse('old', document)
        demand = self.demand_of(task)
        if self.guards and not self._fits(demand):
            self._extend(document['untilMs'])
            return self._refuse('room', document)
        self._extend(document['untilMs'])
        step = int(task.split('.')[2])
        spec = json.loads(document['spec'])
        ms = spec['ms'][step]
        entry = {'task': task, 'run': run, 'demand': demand, 'ms': ms,
                 'at': time.monotonic()}
        how = 'failed' if self.fails(task, run) else 'done'
        entry['timer'] = asyncio.get_running_loop().call_later(
            ms / 1000, self._end, entry, how)
        self.running[task, run] = entry
        self.record('start', worker=self.name, task=task, run=run, late=late)
        return 200, {'clockMs': self.clock()}

    def _fits(self, demand):
        for key, size in self.capacity.items():
            used = sum(r['demand'].get(key, 0) for r in self.running.values())
            if used + demand.get(key, 0) > size:
                return False
        return True

    def _stop(self, document):
        task, run = document['task'], document['run']
        self.highest[task] = max(self.highest.get(task, 0), run)
        for entry in list(self.running.values()):
            if entry['task'] == task and entry['run'] <= run:
                entry['timer'].cancel()
                entry['timer'] = asyncio.get_running_loop().call_later(
                    STOP_MS / 2000, self._end, entry, 'stopped')
        self.record('stop', worker=self.name, task=task, run=run)
        return 200, {'clockMs': self.clock()}

    def _end(self, entry, how):
        key = entry['task'], entry['run']
        if self.running.get(key) is not entry:
            return
        entry['timer'].cancel()
        del self.running[key]
        self.ends += 1
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.ended.append([self.ends, key[0], key[1], how, ''])
        self.record('end', worker=self.name, task=key[0], run=key[1], how=how,
                    n=self.ends)
        asyncio.ensure_future(self._notify())

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def _hold(self, document):
        fence = document.get('fence', 0)
        if fence < self.fence:
            return 409, {'clockMs': self.clock(), 'reason': 'fence'}
        self.fence = fence
        seen = document.get('seenUpto', 0)
        kept = [row for row in self.ended if row[0] > seen]
        for row in self.ended:
            if row[0] <= seen:
                self.record('noted', worker=self.name, task=row[1], run=row[2],
                            how=row[3])
        self.ended = kept
        if 'untilMs' in document:
            self._extend(document['untilMs'])
        wait = min(document.get('waitMs', 0), 2000) / 1000
        if wait and not self.ended:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        return 200, {
            'clockMs': self.clock(), 'born': self.born,
            'running': [[r['task'], r['run'], '',
                         min(99, int(100000 * (time.monotonic() - r['at'])
                                     / max(1, r['ms']))), 0]
                        for r in self.running.values()],
            'ended': self.ended[:500],
        }
