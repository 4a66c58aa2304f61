"""Machines that the store once turned away go on reaching it through a seed, and follow the
configuration too late when that seed loses power."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import firweir_review as review  # noqa: E402

SERVICE = "cards"
MACHINES = 7
SEEDS = 3
# platform_down, how = "nodes busy": at most share 0.33 of the machines, 4 s.
REFUSED_S = 4.0
CALM_S = 4.0
CONTACT_S = 3.0
DARK_S = 3.5
CONFIG_APPLY_S = 2.0
CYCLES = 6


class TurningAwayProxy(review.Server):
    """A machine's way to the store; answers 503 while the store turns that machine away."""

    def __init__(self, target):
        super().__init__()
        self.target = target
        self.refuses = False
        self.calls = 0

    async def channel(self, reader, writer):
        host, port = self.target.split(":")
        store_reader, store_writer = await asyncio.open_connection(host, int(port))

        async def requests():
            while True:
                data = await reader.read(65536)
                if not data:
                    return
                self.calls += 1
                if self.refuses:
                    writer.write(review.answer_bytes(503, {}, b"{}"))
                    await writer.drain()
                    continue
                store_writer.write(data)
                await store_writer.drain()

        async def answers():
            while True:
                data = await store_reader.read(65536)
                if not data:
                    return
                writer.write(data)
                await writer.drain()

        tasks = [asyncio.ensure_future(requests()), asyncio.ensure_future(answers())]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        store_writer.close()


class CardSampler(review.Sampler):
    """Echoes bodies."""

    async def channel(self, reader, writer):
        while True:
            message = await review.read_message(reader)
            if message is None:
                return
            first, headers = message
            body = await review.read_body(reader, headers)
            request_id = headers.get("x-request-id", "")
            answer = {"X-Request-Id": request_id, "X-Server-Stamp": self.stamp(request_id)}
            writer.write(review.answer_bytes(200, answer, body))
            await writer.drain()


def config(version):
    """Each version has one more route."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"cards-{number}",
                "host": review.HOST,
                "pathPrefix": f"/cards-{number}/",
                "kind": "idempotent",
                "timeoutMs": 3000,
                "targetLatencyMs": 150,
                "priority": 2,
                "service": SERVICE,
                "maxAttempts": 2,
            }
            for number in range(1, version + 1)
        ],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 100}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


async def ask(nodes, number, route, request_id, record):
    """One request of a client; returns the time at which it was sent, and the status."""
    sent = record.now()
    headers = {"X-Request-Id": request_id, "X-Deadline-Ms": 1500}
    try:
        status, _, _ = await review.call(
            nodes.client[number], "POST", f"/cards-{route}/1", headers, b"card", timeout=3
        )
    except (OSError, ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        status = 0
    record.add("answered", node=number + 1, id=request_id, status=status, sent=f"{sent:.3f}")
    return sent, status


async def play(record, has_trouble):
    store = await review.Store(record).start()
    await store.put("config", "main", config(1))
    sampler = CardSampler(record, "i-card-0", SERVICE, 6)
    await sampler.start()
    await sampler.register(store)
    proxies = [await TurningAwayProxy(store.address).start() for _ in range(MACHINES)]
    nodes = review.Nodes(record, [proxy.address for proxy in proxies])
    broken = []
    try:
        # Machines start within 0.3 s of one another.
        for number in range(MACHINES):
            nodes.start(number)
            await asyncio.sleep(0.3 / MACHINES)
        await nodes.wait_until_ready()
        await asyncio.sleep(CONTACT_S)
        for cycle in range(CYCLES):
            version = cycle + 2
            # Machines that are no seeds, two at a time.
            others = MACHINES - SEEDS
            refused = [SEEDS + cycle % others, SEEDS + (cycle + 1) % others]
            if has_trouble:
                record.add("store-turns-away", nodes=[number + 1 for number in refused])
                for number in refused:
                    proxies[number].refuses = True
            await asyncio.sleep(REFUSED_S)
            for number in refused:
                proxies[number].refuses = False
            record.add("store-serves-all")
            await asyncio.sleep(CALM_S)
            seed = (cycle + 1) % SEEDS
            before = [proxy.calls for proxy in proxies]
            if has_trouble:
                # Without power: it doesn't answer and resets nothing.
                nodes.signal(seed, "SIGSTOP")
            dark_at = record.now()
            await asyncio.sleep(0.1)
            await store.put("config", "main", config(version))
            confirmed = record.now()
            record.add("config-confirmed", version=version)
            calm = [number for number in range(SEEDS, MACHINES)]
            await asyncio.sleep(CONFIG_APPLY_S + 0.05)
            asks = []
            turn = 0
            while record.now() < confirmed + CONFIG_APPLY_S + 1.4:
                for number in calm:
                    turn += 1
                    request_id = f"{cycle:02x}{number:02x}{turn:04x}"
                    asks.append((number, ask(nodes, number, version, request_id, record)))
                asks_now = [asked for _, asked in asks]
                results = await asyncio.gather(*asks_now)
                for (number, _), (sent, status) in zip(asks, results):
                    if status == 404 and sent > confirmed + CONFIG_APPLY_S:
                        broken.append((cycle, number))
                        record.add(
                            "CONFIG",
                            node=number + 1,
                            version=version,
                            sent_after_confirmation=f"{sent - confirmed:.2f}",
                            status=status,
                        )
                asks = []
                await asyncio.sleep(0.05)
            direct = [proxy.calls - count for proxy, count in zip(proxies, before)]
            record.add("direct-store-calls", since_dark=direct)
            if has_trouble:
                await asyncio.sleep(max(0.0, dark_at + DARK_S - record.now()))
                nodes.kill(seed)
                nodes.start(seed)
                await nodes.wait_until_ready([seed])
    finally:
        nodes.stop_all()
    record.add("summary", wrong_answers=len(broken), cycles=len({cycle for cycle, _ in broken}))
    return not broken


review.run_case(HERE, play)
