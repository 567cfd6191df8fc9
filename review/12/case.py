"""A worker fails part of its bookings with 503 after it ran them, and says nothing of not having
run them. Checks what the consumers are told."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'common-3'))
from system import *  # noqa: E402,F403

TRAFFIC_S = 40.0
FAILED_SHARE = 0.4


class Ledger(Worker):
    fails = False
    booked = {}

    async def run(self, method, target, headers, body, reader, writer):
        attempt = headers['x-trefoilrun-attempt-id']
        order = json.loads(body)['order']
        self.booked.setdefault(order, []).append(attempt)
        self.record.write(f'{self.id} runs {attempt}: books {order}')
        await asyncio.sleep(random.uniform(0.03, 0.09))
        if self.fails and random.random() < FAILED_SHARE:
            self.record.write(f'{self.id} answers 503 to {attempt}')
            self.write_answer(writer, headers, 503, b'no answer from the journal')
            return
        self.write_answer(writer, headers, 200, b'booked')


async def main(record, has_trouble, folder):
    system = System(record, entries=6)
    workers = [Ledger(system, 'tray', i, f'z{i % 3 + 1}') for i in range(8)]
    broken = []
    try:
        await system.start()
        for worker in workers:
            await worker.start()
        config = configuration(
            1, [route('r-book', '/book/', 'non_idempotent', 'tray', 1500, 300)],
            [plain_service('tray')])
        if not await system.publish(config):
            raise CannotRun('no configuration is acknowledged')
        await system.wait_until_ready()
        await asyncio.sleep(3)
        workers[0].fails = has_trouble

        async def book(number):
            order = f'order-{number}'
            for step in range(2):
                attempt = f'{number:012x}{step:04x}'
                entry = system.entries[(number + step) % len(system.entries)]
                answer = await request(entry.at(FRONT_PORT), '/book/1', attempt,
                                       json.dumps({'order': order}).encode(), timeout=1.5)
                record.write(f'booking {attempt} to {entry.name}: {answer.status} {answer.error} '
                             f'seal {answer.headers.get("x-trefoilrun-response-seal")} '
                             f'{answer.body!r}')
                has_run = attempt in Ledger.booked.get(order, [])
                if answer.status in (408, 421, 429, 503) and has_run:
                    broken.append(attempt)
                # A consumer repeats a booking only after such a promise.
                if answer.status not in (408, 421, 429, 503):
                    return
                await asyncio.sleep(min(float(answer.headers.get('retry-after', 0.1)), 0.5))

        tasks = []
        start = record.now()
        number = 0
        while record.now() < start + TRAFFIC_S:
            number += 1
            tasks.append(asyncio.create_task(book(number)))
            await asyncio.sleep(random.uniform(0.015, 0.035))
        await asyncio.gather(*tasks)
        if system.unexpected_exits():
            record.write(f'exits: {system.unexpected_exits()}')
    finally:
        for worker in workers:
            worker.is_up = False
            if worker.server:
                worker.server.close()
        await system.stop()
    twice = [order for order, attempts in Ledger.booked.items() if len(attempts) > 1]
    record.write(f'{number} bookings; {len(broken)} requests were answered "not run" and have run; '
                 f'{len(twice)} orders were booked twice')
    return bool(broken)


run_case(main)
