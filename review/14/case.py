"""The configuration grows by many routes, then a key is taken away. Checks that the key is not
served any more once `config-apply-ms` has passed since the acknowledgement."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'common-3'))
import system as platform  # noqa: E402
from system import *  # noqa: E402,F403

CONFIG_APPLY_S = 2.0
# Largest dose of big_config in the site file, and how often it comes.
ROUTES_PER_STEP = 410
STEPS = 34


class Tray(Worker):
    ran = {}

    async def run(self, method, target, headers, body, reader, writer):
        self.ran[headers['x-trefoilrun-attempt-id']] = self.record.now()
        await super().run(method, target, headers, body, reader, writer)


def word(length):
    return ''.join(random.choice('abcdefghijkmnpqrstuvwxyz23456789') for _ in range(length))


async def main(record, has_trouble, folder):
    system = System(record, entries=2)
    workers = [Tray(system, 'tray', i, f'z{i + 1}') for i in range(3)]
    late = []
    try:
        await system.start()
        for worker in workers:
            await worker.start()
        routes = [route('r-look', '/look/', 'idempotent', 'tray', 1500, 100)]
        services = [plain_service('tray')]
        kept_key, lost_key = platform.KEY, 'anfqasnmgkcuyj8pjbvk'
        version = 1

        def make_config(keys):
            config = configuration(version, list(routes), services)
            config['tenants'] = [{'name': 'hule930', 'keys': keys, 'priority': 1}]
            return config

        if not await system.publish(make_config([kept_key, lost_key])):
            raise CannotRun('no configuration is acknowledged')
        await system.wait_until_ready()
        await asyncio.sleep(3)
        platform.KEY = lost_key

        async def look(index, number, acknowledged=None):
            entry = system.entries[index]
            attempt = f'{index:02x}{number:014x}'
            sent = record.now()
            answer = await request(entry.at(FRONT_PORT), '/look/1', attempt, method='GET',
                                   timeout=1.5)
            record.write(f'{attempt} to {entry.name} with the key: {answer.status}')
            is_run = attempt in Tray.ran
            if acknowledged and is_run and sent > acknowledged + CONFIG_APPLY_S:
                late.append((attempt, round(sent - acknowledged, 3)))
            return answer.status

        if await look(0, 0) != 200 or await look(1, 0) != 200:
            raise CannotRun('the key is not served before it is taken away')
        for _ in range(STEPS if has_trouble else 1):
            for _ in range(ROUTES_PER_STEP):
                routes.append(route(f'r-{word(7)}', f'/{word(7)}/', 'idempotent', 'tray', 1500, 100))
            version += random.randint(1, 4)
            if not await system.publish(make_config([kept_key, lost_key])):
                raise CannotRun('a configuration is not acknowledged')
            await asyncio.sleep(1.0)
        # Waits until the last growth is in force, then makes two changes, the later one of keys.
        await asyncio.sleep(10)
        version += 1
        routes.append(route(f'r-{word(7)}', f'/{word(7)}/', 'idempotent', 'tray', 1500, 100))
        await system.publish(make_config([kept_key, lost_key]))
        await asyncio.sleep(0.5)
        version += 1
        if not await system.publish(make_config([kept_key])):
            raise CannotRun('the key could not be taken away')
        acknowledged = record.now()
        record.write(f'the key is taken away with version {version}, {len(routes)} routes')
        number = 1
        while record.now() < acknowledged + 6:
            await asyncio.gather(*(look(index, number, acknowledged) for index in range(2)))
            number += 1
            await asyncio.sleep(0.1)
        if system.unexpected_exits():
            record.write(f'exits: {system.unexpected_exits()}')
    finally:
        for worker in workers:
            worker.is_up = False
            if worker.server:
                worker.server.close()
        await system.stop()
    record.write(f'{len(late)} requests with the key ran that were sent later than '
                 f'{CONFIG_APPLY_S} s after the acknowledgement: {late[:6]}')
    return bool(late)


run_case(main)
