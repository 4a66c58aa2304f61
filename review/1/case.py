"""A request that may run once runs twice after a sampler's late extra answer."""

import asyncio
import os
import sys
import time
from collections import Counter

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import firweir_review as review  # noqa: E402

SERVICE = "ledger"
SAMPLERS = 5
# garble: share 0.6 of the samplers spoil at most x 0.03 of their answers.
FAULTY_SAMPLERS = 3
ANSWERS_PER_SPOILED = 40
CLIENTS = 12
REQUESTS_PER_CLIENT = 80
WORK_S = 0.02


class LedgerSampler(review.Sampler):
    """Each 40th request finds it full. A faulty one repeats that refusal once, late: where the
    answer to the next request on the channel is due. It runs that next request all the same."""

    def __init__(self, record, name, is_faulty, runs):
        super().__init__(record, name, SERVICE, slots=6)
        self.is_faulty = is_faulty
        self.runs = runs
        self.received = 0
        self.answers = 0
        self.spoiled = 0

    async def channel(self, reader, writer):
        extra = None
        while True:
            message = await review.read_message(reader)
            if message is None:
                return
            first, headers = message
            body = await review.read_body(reader, headers)
            request_id = headers.get("x-request-id", "")
            if headers.get("x-expect-instance", self.name) != self.name:
                writer.write(review.answer_bytes(421, {"X-Request-Id": request_id}))
                continue
            self.received += 1
            self.answers += 1
            if self.received % ANSWERS_PER_SPOILED == 0:
                refusal = review.answer_bytes(
                    503, {"X-Request-Id": request_id, "X-Not-Executed": "1"}
                )
                self.record.add("refused", sampler=self.name, id=request_id)
                writer.write(refusal)
                await writer.drain()
                if self.is_faulty:
                    extra = (request_id, refusal)
                continue
            self.runs.append((request_id, self.name))
            self.record.add("runs", sampler=self.name, id=request_id)
            if extra:
                self.spoiled += 1
                self.record.add("extra-answer", sampler=self.name, id=extra[0], during=request_id)
                writer.write(extra[1])
                await writer.drain()
                extra = None
            await asyncio.sleep(WORK_S)
            writer.write(
                review.answer_bytes(
                    200,
                    {"X-Request-Id": request_id, "X-Server-Stamp": self.stamp(request_id)},
                    body,
                )
            )
            await writer.drain()


def config():
    return {
        "version": 1,
        "routes": [
            {
                "name": "ledger",
                "host": review.HOST,
                "pathPrefix": "/ledger/",
                "kind": "non_idempotent",
                "timeoutMs": 5000,
                "targetLatencyMs": 400,
                "priority": 1,
                "service": SERVICE,
                "maxAttempts": 3,
            }
        ],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 100}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


async def client(number, port, record, answers):
    """Sends one request after the other on a kept channel; none is sent again."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for turn in range(REQUESTS_PER_CLIENT):
        request_id = f"{number:02x}{turn:06x}"
        body = f"entry {request_id}".encode()
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": 5000}
        record.add("sent", id=request_id)
        await review.send(writer, "POST", f"/ledger/{request_id}", headers, body)
        first, received = await review.read_message(reader)
        data = await review.read_body(reader, received)
        status = int(first.split(" ")[1])
        answers[request_id] = status
        record.add("answered", id=request_id, status=status, whole=int(data == body))
    writer.close()


async def play(record, has_trouble):
    store = await review.Store(record).start()
    await store.put("config", "main", config())
    runs = []
    samplers = []
    for number in range(SAMPLERS):
        is_faulty = has_trouble and number < FAULTY_SAMPLERS
        sampler = LedgerSampler(record, f"i-ledger-{number}", is_faulty, runs)
        await sampler.start()
        await sampler.register(store)
        samplers.append(sampler)
    nodes = review.Nodes(record, [store.address] * 2)
    answers = {}
    try:
        nodes.start_all()
        await nodes.wait_until_ready()
        await asyncio.sleep(1)
        clients = [
            client(number, nodes.client[number % 2], record, answers)
            for number in range(CLIENTS)
        ]
        await asyncio.wait_for(asyncio.gather(*clients), 60)
    finally:
        nodes.stop_all()
    counts = Counter(request_id for request_id, _ in runs)
    twice = sorted(request_id for request_id, count in counts.items() if count > 1)
    refused = sorted(
        request_id
        for request_id, status in answers.items()
        if status in (408, 421, 429, 503) and counts[request_id]
    )
    spoiled = sum(sampler.spoiled for sampler in samplers)
    record.add(
        "summary",
        requests=len(answers),
        sampler_answers=sum(sampler.answers for sampler in samplers),
        extra_answers=spoiled,
        ran_twice=len(twice),
        refused_and_ran=len(refused),
    )
    for request_id in twice:
        where = [name for ran, name in runs if ran == request_id]
        record.add("TWICE", id=request_id, samplers=",".join(where), status=answers[request_id])
    for request_id in refused:
        record.add("REFUSED", id=request_id, status=answers[request_id])
    if has_trouble and not spoiled:
        raise review.CannotRun("no extra answer was sent")
    return not twice and not refused


review.run_case(HERE, play)
