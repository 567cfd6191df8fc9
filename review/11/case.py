"""A foreign fleet reports to the control VMs under a service that no configuration names. Then two
control VMs freeze, one after the other. Checks that the configuration can be read afterwards."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'common-3'))
from system import *  # noqa: E402,F403

FOREIGN_WORKERS = 100
STAGED_MODELS = 300
# Longer than the links between control VMs wait for a silent peer.
FREEZE_S = 3.5
# `sync-time-s`: a machine counts as lost for so long after it is back.
SYNC_S = 4.0
READ_S = 15.0


class ForeignWorker(Worker):
    """A worker of another fleet, with many models on its host."""

    def report(self):
        report = super().report()
        report.update({
            'stage': 'hybrid', 'domain': f'rack-{self.index % 10}',
            'models': [], 'staged': [f'adapter-{self.index:03d}-{number:03d}-of-catalogue'
                                     for number in range(STAGED_MODELS)]})
        return report


async def read_configuration(system):
    """Asks the control VMs in turn for the configuration, as the operator does. Returns the answer
    of the first that has it, and the statuses of the others."""
    statuses = []
    for node in system.controls:
        target = node.at(CONTROL_PORT)
        for _ in range(3):
            try:
                status, headers, body = await call(
                    target, 'GET', '/trefoilrun/configuration/read', timeout=1)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                status, headers, body = 0, {}, b''
            statuses.append(status)
            if status == 200:
                return json.loads(body), statuses
            if status != 307:
                break
            target = headers['location'].split('//')[1].split('/')[0]
    return None, statuses


async def main(record, has_trouble, folder):
    system = System(record, entries=1)
    workers = [Worker(system, 'tray', i, f'z{i + 1}') for i in range(3)]
    foreign = [ForeignWorker(system, 'catalogue-llm', 10 + i) for i in range(FOREIGN_WORKERS)]
    is_read = False
    try:
        await system.start()
        for worker in workers:
            await worker.start()
        routes = [route('r-look', '/look/', 'idempotent', 'tray', 1500, 100)]
        if not await system.publish(configuration(1, routes, [plain_service('tray')])):
            raise CannotRun('no configuration is acknowledged')
        await system.wait_until_ready()
        if has_trouble:
            for worker in foreign:
                await worker.start()
        await asyncio.sleep(6)
        if not await system.publish(configuration(2, routes, [plain_service('tray')])):
            raise CannotRun('the second configuration is not acknowledged')
        for node in system.controls[:2]:
            system.signal(node, signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            system.signal(node, signal.SIGCONT)
            await asyncio.sleep(SYNC_S + CONNECTIVITY_WINDOW_S)
        record.write('all control VMs run and have been undisturbed for 7 s')
        end = record.now() + READ_S
        while record.now() < end and not is_read:
            config, statuses = await read_configuration(system)
            record.write(f'the configuration is read: {config["version"] if config else None}, '
                         f'statuses {statuses}')
            is_read = config is not None and config['version'] == 2
            await asyncio.sleep(0.5)
        is_taken = await system.publish(configuration(3, routes, [plain_service('tray')]), 10)
        record.write(f'a further configuration is acknowledged: {is_taken}')
        answer = await request(system.entries[0].at(FRONT_PORT), '/look/1', 'feed', method='GET',
                               timeout=1.5)
        record.write(f'a request is answered with {answer.status}')
        if system.unexpected_exits():
            record.write(f'exits: {system.unexpected_exits()}')
    finally:
        for worker in workers + foreign:
            worker.is_up = False
            if worker.server:
                worker.server.close()
        await system.stop()
    record.write(f'the acknowledged configuration could be read: {is_read}')
    return not is_read


run_case(main)
