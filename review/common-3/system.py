"""Starts the gateway roles of trefoilrun as real processes on loopback addresses and plays their
surroundings: an operator, workers and consumers. Standard library only."""

import asyncio
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FRONT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT = 8227, 8220, 8229, 8230
INTERNAL_PORT, METRICS_PORT = 7340, 9180
HEARTBEAT_S = 1.2
CONNECTIVITY_WINDOW_S = 3.0
HOST = 'ficu95.example'


class CannotRun(Exception):
    """The case could not be set up."""


def end_with_parent():
    """Lets the kernel end a process when the one that started it ends."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


def deploy_command(role):
    """Returns the command line of a role in the deploy file."""
    section = None
    with open(os.path.join(ROOT, 'deploy', 'system.toml')) as deploy:
        for line in deploy:
            line = line.strip()
            if line.startswith('['):
                section = line
            elif section == f'[roles.{role}]' and line.startswith('run'):
                return line.split('=', 1)[1].strip().strip('"').split()
    raise CannotRun(f'role {role} is not in the deploy file')


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, 'w')
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f'{self.now():9.3f} {text}\n')

    def close(self):
        self.file.close()


class Node:
    def __init__(self, role, name, zone, address):
        self.role, self.name, self.zone, self.address = role, name, zone, address
        self.process = None
        self.first_start = True

    def at(self, port):
        return f'{self.address}:{port}'


class System:
    """Control VMs and entries, each a process of its own."""

    def __init__(self, record, entries=2, controls=3):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix='trefoil-review-')
        self.net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        self.controls = [Node('control', f'core-{i}', f'z{i % 3 + 1}', f'{self.net}.{10 + i}')
                         for i in range(controls)]
        self.entries = [Node('entry', f'front-{i}', f'z{i % 3 + 1}', f'{self.net}.{40 + i}')
                        for i in range(entries)]
        self.version = 0
        for node in self.controls + self.entries:
            for port in (FRONT_PORT, CONTROL_PORT, DIRECTORY_PORT, INTERNAL_PORT, METRICS_PORT):
                with socket.socket() as probe:
                    probe.bind((node.address, port))

    def worker_address(self, index, port=8080):
        return f'{self.net}.{100 + index}:{port}'

    def settings(self, node):
        seeds = [c.at(CONTROL_PORT) for c in self.controls[:3]]
        lines = [
            'node:', f'  name: "{node.name}"', '  region: "addis"', f'  domain: "{node.zone}"',
            f'  address: "{node.address}"', f'  internal_port: {INTERNAL_PORT}',
            f'  seeds: {json.dumps(seeds)}',
            f'  first_start: {"true" if node.first_start else "false"}', '  dialect: platform',
            'listen:', f'  metrics: "{node.at(METRICS_PORT)}"']
        if node.role == 'entry':
            lines += [f'  callers: "{node.at(FRONT_PORT)}"',
                      f'  readiness: "{node.at(READY_PORT)}"']
        else:
            lines += [f'  control: "{node.at(CONTROL_PORT)}"',
                      f'  entry_list: "{node.at(DIRECTORY_PORT)}"',
                      f'data: "{self.folder}/data-{node.name}"']
        memory = 260 if node.role == 'entry' else 256
        lines += [
            'limits:', '  connections: 4096', f'  memory: {memory}', '  tolerated_losses: 1',
            '  heartbeat: 1200ms', '  stop_bound: 8s', '  entry_list_lifetime: 2s',
            '  retry_ratio: 0.2', '  retry_window: 10s', '  retry_allowance: 130']
        return '\n'.join(lines) + '\n'

    async def start_node(self, node):
        path = os.path.join(self.folder, node.name + '.yaml')
        with open(path, 'w') as settings:
            settings.write(self.settings(node))
        command = deploy_command(node.role)
        command = [path if word == '/etc/trefoilrun/local.toml' else word for word in command]
        command[0] = os.path.join(ROOT, command[0])
        if not os.path.exists(command[0]):
            raise CannotRun(f'{command[0]} is not built')
        log = open(os.path.join(self.folder, node.name + '.log'), 'a')
        node.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            preexec_fn=end_with_parent)
        log.close()
        node.first_start = False
        self.record.write(f'started {node.role} {node.name} pid {node.process.pid}')

    async def start(self):
        for node in self.controls + self.entries:
            await self.start_node(node)

    def signal(self, node, number):
        self.record.write(f'{signal.Signals(number).name} to {node.name}')
        node.process.send_signal(number)

    async def publish(self, config, timeout=20):
        """Sends a configuration until it is acknowledged, as the operator does."""
        body = json.dumps(config).encode()
        end = time.monotonic() + timeout
        target = random.choice(self.controls).at(CONTROL_PORT)
        while time.monotonic() < end:
            try:
                status, headers, answer = await call(
                    target, 'POST', '/trefoilrun/configuration/replace', body, timeout=3)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                status, headers, answer = 0, {}, b''
            if status != 200:
                self.record.write(f'configuration {config["version"]} at {target}: {status} '
                                  f'{answer[:80]!r}')
            if status == 307:
                target = headers['location'].split('//')[1].split('/')[0]
                continue
            if status == 200:
                self.version = max(self.version, config['version'])
                self.record.write(f'configuration {config["version"]} acknowledged by {target}')
                return True
            if status in (400, 409, 412, 413, 422):
                self.record.write(f'configuration {config["version"]} refused with {status}')
                return False
            await asyncio.sleep(0.3)
            target = random.choice(self.controls).at(CONTROL_PORT)
        return False

    async def wait_until_ready(self, timeout=15):
        end = time.monotonic() + timeout
        for node in self.entries:
            while True:
                try:
                    status, _, _ = await call(node.at(READY_PORT), 'GET', '/trefoilrun/readiness')
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                    status = 0
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f'{node.name} does not become ready')
                await asyncio.sleep(0.1)

    async def stop(self):
        for node in self.controls + self.entries:
            if node.process and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def unexpected_exits(self):
        return [node.name for node in self.controls + self.entries
                if node.process and node.process.returncode is not None]


async def read_head(reader):
    """Returns the start line and the header fields of a message."""
    data = await reader.readuntil(b'\r\n\r\n')
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if ':' in line:
            name, value = line.split(':', 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            chunk = await read_chunk(reader)
            if not chunk:
                return body
            body += chunk
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def call(address, method, target, body=b'', headers=(), timeout=1.0):
    """Makes one call on a connection of its own. Returns the status, header fields and body."""
    async def run():
        host, port = address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            text = f'{method} {target} HTTP/1.1\r\nHost: {address}\r\n'
            text += ''.join(f'{name}: {value}\r\n' for name, value in headers)
            text += f'Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n'
            writer.write(text.encode() + body)
            start, fields = await read_head(reader)
            return int(start.split()[1]), fields, await read_body(reader, fields)
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


class Worker:
    """A plain worker: reports itself and answers each request once. Subclasses change answers."""

    def __init__(self, system, service, index, zone='z1', slots=6):
        self.system, self.record, self.service = system, system.record, service
        self.address = system.worker_address(index)
        self.index, self.zone, self.slots = index, zone, slots
        self.number = 0
        self.id = ''
        self.server = None
        self.connections = set()
        self.tasks = set()
        self.is_up = False
        self.state = 'ready'
        self.sequence = 0
        self.report_address = None
        self.first_report_delay = 0.0

    async def start(self, worker_id=None):
        """Begins a new lifetime."""
        self.number += 1
        self.id = worker_id or f'i-{self.index:02d}{self.number:04d}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.is_up = True
        self.reset_state()
        host, port = self.address.split(':')
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 20)
        self.spawn(self.report_regularly(self.number))
        self.record.write(f'worker {self.id} ({self.service}, {self.address}) starts, '
                          f'born {self.born}')

    def reset_state(self):
        pass

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def crash(self):
        """Ends the lifetime as the end of a process does: all connections close at once."""
        if not self.is_up:
            return
        self.is_up = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.connections.clear()
        self.record.write(f'worker {self.id} crashes')

    def report(self):
        self.sequence += 1
        return {'service': self.service, 'address': self.address, 'zone': self.zone,
                'version': 'v1', 'slots': self.slots, 'state': self.state,
                'cold-remaining-ms': 0, 'sequence': self.sequence, 'born': self.born}

    async def report_once(self):
        """Sends one liveness report, to another control VM if the first does not answer."""
        targets = [self.report_address] if self.report_address else []
        targets += random.sample([c.at(CONTROL_PORT) for c in self.system.controls],
                                 len(self.system.controls))
        body = json.dumps(self.report()).encode()
        for target in targets:
            try:
                status, _, answer = await call(
                    target, 'POST', f'/trefoilrun/instances/{self.id}/heartbeat', body)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                status = 0
            if 200 <= status < 300:
                self.report_address = json.loads(answer or b'{}').get('heartbeat-addr') or target
                return True
            self.report_address = None
        return False

    async def report_regularly(self, number):
        await asyncio.sleep(self.first_report_delay)
        while self.is_up and self.number == number:
            await self.report_once()
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        number = self.number
        if not self.is_up:
            writer.transport.abort()
            return
        self.connections.add(writer)
        try:
            while self.is_up and self.number == number:
                start, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = start.split(' ')
                await self.handle(method, target, headers, body, reader, writer)
                await writer.drain()
                if writer.is_closing():
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, reader, writer):
        expected = headers.get('x-trefoilrun-expect-instance')
        if expected and expected != self.id:
            self.write_answer(writer, headers, 421, b'another worker',
                              [('X-Trefoilrun-Not-Executed', '1')])
            return
        await self.run(method, target, headers, body, reader, writer)

    async def run(self, method, target, headers, body, reader, writer):
        await asyncio.sleep(0.015)
        self.write_answer(writer, headers, 200, b'done')

    def write_answer(self, writer, headers, status, body, fields=()):
        text = f'HTTP/1.1 {status} X\r\n'
        attempt = headers.get('x-trefoilrun-attempt-id')
        if attempt:
            text += f'X-Trefoilrun-Attempt-Id: {attempt}\r\n'
        if not any(name == 'X-Trefoilrun-Not-Executed' for name, _ in fields):
            text += f'X-Trefoilrun-Response-Seal: {self.id}.{attempt}\r\n'
        text += ''.join(f'{name}: {value}\r\n' for name, value in fields)
        text += f'Content-Length: {len(body)}\r\n\r\n'
        writer.write(text.encode() + body)


class Fleet:
    """What all engines share: whether a request has come yet."""

    def __init__(self):
        self.has_traffic = False


MODEL = 'daka510000'
LOAD_S, WARM_S, FORM_S, STALL_S = 12.0, 1.1, 0.3, 6.0


class Engine(Worker):
    """A model worker: obeys orders as PROTOCOL.md says and answers streams at the head."""

    def __init__(self, system, service, index, fleet, fabric, zone='z1', slots=26):
        super().__init__(system, service, index, zone, slots)
        self.fleet, self.fabric = fleet, fabric
        self.staged = []

    def reset_state(self):
        self.group = None
        self.last_model = None
        self.orders = 0
        self.fence = 0
        self.epoch = 0
        self.changed = asyncio.Event()

    def report(self):
        report = super().report()
        report.update({'stage': 'hybrid', 'domain': self.fabric, 'staged': list(self.staged),
                       'models': [{'name': self.group['model'], 'version': 1, 'adapters': []}]
                       if self.group else []})
        if self.group:
            report['group'] = {key: self.group[key] for key in ('name', 'epoch', 'rank', 'state')}
        return report

    async def report_regularly(self, number):
        while self.is_up and self.number == number:
            self.changed.clear()
            await self.report_once()
            try:
                await asyncio.wait_for(self.changed.wait(), HEARTBEAT_S)
            except asyncio.TimeoutError:
                pass

    def set_state(self, group, state):
        if self.is_up and self.group is group:
            group['state'] = state
            self.record.write(f'{self.id} is {state} in {group["name"]}')
            self.changed.set()

    async def load(self, group, number):
        model = group['model']
        if model == self.last_model:
            await asyncio.sleep(0.2)
        elif model in self.staged:
            await asyncio.sleep(WARM_S)
        else:
            await asyncio.sleep(LOAD_S if self.fleet.has_traffic else LOAD_S / 10)
        if not self.is_up or self.number != number or self.group is not group:
            return
        self.staged = [model]
        self.last_model = model
        self.set_state(group, 'ready')

    async def open(self, group):
        await asyncio.sleep(FORM_S)
        self.set_state(group, 'open')

    async def stage(self, model, number):
        await asyncio.sleep(LOAD_S if self.fleet.has_traffic else LOAD_S / 10)
        if self.is_up and self.number == number:
            self.staged = [model]
            self.changed.set()

    def obey(self, order):
        fence = order.get('fencing-token', 0)
        if fence < self.fence:
            return 412
        self.fence = max(self.fence, fence)
        operation = order['operation']
        if operation == 'stage':
            if order['model'] in self.staged:
                return 200
            self.spawn(self.stage(order['model'], self.number))
            self.orders += 1
            return 202
        name, epoch = order['group'], order['epoch']
        group = self.group
        if operation == 'join':
            is_same = group and group['name'] == name and group['epoch'] == epoch
            if epoch < self.epoch or (is_same and group['members'] != order['members']):
                return 412
            if is_same:
                return 200
            if self.id not in order['members']:
                return 400
            self.epoch = epoch
            self.group = {'name': name, 'epoch': epoch, 'model': order['model'],
                          'members': order['members'], 'rank': order['members'].index(self.id),
                          'state': 'joining'}
            self.spawn(self.load(self.group, self.number))
            self.orders += 1
            self.changed.set()
            return 202
        if not group or group['name'] != name or group['epoch'] != epoch:
            return 409
        self.orders += 1
        if operation == 'leave':
            self.group = None
            self.changed.set()
            return 202
        if operation == 'open':
            if group['state'] == 'open':
                return 200
            if group['state'] != 'ready' or group['rank'] != 0:
                return 409
            self.spawn(self.open(group))
            return 202
        if operation == 'close':
            if group['state'] == 'ready':
                return 200
            self.set_state(group, 'ready')
            return 202
        return 400

    async def handle(self, method, target, headers, body, reader, writer):
        if target == '/trefoilrun/order':
            expected = headers.get('x-trefoilrun-expect-instance')
            order = json.loads(body)
            status = 421 if expected and expected != self.id else self.obey(order)
            self.record.write(f'{self.id} answers {status} to {order["operation"]} '
                              f'{order.get("group", order.get("model"))}')
            self.write_answer(writer, headers, status, b'{}')
            return
        self.fleet.has_traffic = True
        await super().handle(method, target, headers, body, reader, writer)

    def refuse(self, writer, headers, status, why):
        self.write_answer(writer, headers, status, why.encode(),
                          [('X-Trefoilrun-Not-Executed', '1'), ('At-Server', self.id)])

    async def run(self, method, target, headers, body, reader, writer):
        if not self.group or self.group['rank'] != 0:
            self.refuse(writer, headers, 421, 'no head')
            return
        if self.group['state'] != 'open':
            self.refuse(writer, headers, 503, 'not open')
            return
        await self.stream(headers, reader, writer)

    async def stream(self, headers, reader, writer, events=27, first_s=0.1, gap_s=0.04):
        attempt = headers.get('x-trefoilrun-attempt-id', '')
        first = int(headers.get('last-event-id', 0)) + 1
        self.record.write(f'{self.id} runs {attempt} from event {first}')
        await asyncio.sleep(first_s)
        writer.write((f'HTTP/1.1 200 OK\r\nX-Trefoilrun-Attempt-Id: {attempt}\r\n'
                      f'X-Trefoilrun-Response-Seal: {self.id}.{attempt}\r\n'
                      'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n')
                     .encode())
        for number in range(first, events + 1):
            if not await self.write_event(writer, attempt, number):
                return
            await asyncio.sleep(gap_s)
        writer.write(b'0\r\n\r\n')

    async def write_event(self, writer, attempt, number):
        event = f'id: {number}\ndata: {attempt} {number}\n\n'.encode()
        writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
        await writer.drain()
        return not writer.is_closing()


def engine_service(name, size=2):
    return {
        'name': name, 'health-path': '/health', 'max-connections': 394, 'protocol': 'h1',
        'tls': False,
        'engine': {
            'slots': 26, 'kv-tokens': 1400000, 'kv-bytes': 35136, 'link-mbps': 400000.0,
            'stride': 5,
            'models': [{'name': MODEL, 'size': size, 'share': 1.0, 'pace': 1.0, 'load-s': LOAD_S,
                        'warm-s': WARM_S}],
            'step_ms': 6.07, 'per_seq_ms': 0.241, 'context_per_k': 0.00488,
            'read_per_s': 46000.0, 'pairs_per_m': 0.7, 'chunk': 2048, 'report_lag_ms': 200.0,
            'loads-per-s': 4.0, 'loads_at_once': 6, 'delays': [],
            'usual': {'prompt': 1076, 'answer': 116}, 'keeps': 1, 'far_x': 4.0,
            'form-ms': FORM_S * 1000}}


def plain_service(name):
    return {'name': name, 'health-path': '/health', 'max-connections': 96, 'protocol': 'h1',
            'tls': False}


def route(name, prefix, kind, service, timeout_ms, aim_ms, resume=False, attempts=2):
    return {'name': name, 'host': HOST, 'path-prefix': prefix, 'kind': kind,
            'timeout-ms': timeout_ms, 'target-latency-ms': aim_ms, 'priority': 1,
            'traffic-split': [{'service': service, 'weight': 1}], 'attempts': attempts,
            'public': False, 'sticky': kind == 'streaming', 'stream-resume': resume,
            'gap-aim-ms': 300}


LIMITS = {'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000,
          'idle-timeout-ms': 15000}
KEY = 'n2ctnfzs989anu6wsjnb'
TENANTS = [{'name': 'hule930', 'keys': [KEY], 'priority': 1}]


def configuration(version, routes, services):
    return {'version': version, 'routes': routes, 'services': services, 'limits': LIMITS,
            'tenants': TENANTS}


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_complete = False
        self.error = ''


async def request(address, target, attempt, body=b'', headers=(), method='POST', timeout=8.0,
                  connection=None):
    """Sends one request as a consumer. Uses the open connection if one is given."""
    answer = Answer()

    async def run():
        if connection:
            reader, writer = connection
        else:
            host, port = address.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
        text = (f'{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n'
                f'X-Trefoilrun-Attempt-Id: {attempt}\r\nAuthorization: Bearer {KEY}\r\n'
                f'X-Trefoilrun-Request-Deadline: {int(timeout * 1000)}\r\n')
        text += ''.join(f'{name}: {value}\r\n' for name, value in headers)
        text += f'Content-Length: {len(body)}\r\n\r\n'
        try:
            writer.write(text.encode() + body)
            start, answer.headers = await read_head(reader)
            answer.status = int(start.split()[1])
            if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
                while True:
                    chunk = await read_chunk(reader)
                    if not chunk:
                        break
                    answer.body += chunk
            else:
                answer.body = await read_body(reader, answer.headers)
            answer.is_complete = True
        finally:
            if not connection:
                writer.close()
    try:
        await asyncio.wait_for(run(), timeout + 1)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = type(error).__name__
    return answer


def run_case(main):
    """Runs a case. Ends with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, 'record.txt'))
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'with the disruption: {has_trouble}')
    try:
        is_broken = asyncio.run(asyncio.wait_for(main(record, has_trouble, folder), 115))
        code = 1 if is_broken else 0
    except CannotRun as error:
        record.write(f'could not run: {error}')
        code = 2
    except Exception as error:  # A fault of the case itself is no broken rule.
        record.write(f'could not run: {error!r}')
        code = 2
    record.write({0: 'the rule held', 1: 'the rule was broken', 2: 'the case could not run'}[code])
    record.close()
    print({0: 'held', 1: 'broken', 2: 'could not run'}[code])
    sys.exit(code)
