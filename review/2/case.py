"""A machine that is stopped with SIGTERM takes long streams until shortly before it exits, and
breaks them off at its exit."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import firweir_review as review  # noqa: E402

SERVICE = "captions"
SAMPLERS = 2
GRACE_S = 8.0
# Each stream: 24 events, 0.1 s apart.
EVENTS = 24
EVENT_S = 0.1
TIME_BUDGET_MS = 6000
TIMEOUT_MS = 8000
CLIENTS = 6
SIGTERM_AT_S = 4.0
END_AT_S = 16.0


class StreamSampler(review.Sampler):
    """Streams events; stops work when the channel closes."""

    def __init__(self, record, name):
        super().__init__(record, name, SERVICE, slots=12)
        self.last_work = {}

    async def channel(self, reader, writer):
        while True:
            message = await review.read_message(reader)
            if message is None:
                return
            first, headers = message
            await review.read_body(reader, headers)
            request_id = headers.get("x-request-id", "")
            if headers.get("x-expect-instance", self.name) != self.name:
                writer.write(review.answer_bytes(421, {"X-Request-Id": request_id}))
                continue
            self.record.add("runs", sampler=self.name, id=request_id)
            writer.write(
                (
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    f"X-Request-Id: {request_id}\r\nX-Server-Stamp: {self.stamp(request_id)}\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"
                ).encode()
            )
            for number in range(1, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                if writer.is_closing() or reader.at_eof():
                    self.record.add("dropped", sampler=self.name, id=request_id, event=number)
                    return
                event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                self.last_work[request_id] = self.record.now()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record.add("finished", sampler=self.name, id=request_id)


def config():
    return {
        "version": 1,
        "routes": [
            {
                "name": "captions",
                "host": review.HOST,
                "pathPrefix": "/captions/",
                "kind": "streaming",
                "timeoutMs": TIMEOUT_MS,
                "targetLatencyMs": 400,
                "priority": 1,
                "service": SERVICE,
                "maxAttempts": 2,
            }
        ],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 150}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Client:
    """Asks for one stream after the other on a kept channel, and opens a new channel at another
    machine once its own has been closed."""

    def __init__(self, number, nodes, record):
        self.number = number
        self.nodes = nodes
        self.record = record
        self.streams = []

    async def run(self):
        # Clients of the first machine start apart from one another.
        await asyncio.sleep(self.number * 0.4)
        node, turn = 0, 0
        while self.record.now() < END_AT_S:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.nodes.client[node])
            self.record.add("channel-opened", client=self.number, node=node + 1)
            while self.record.now() < END_AT_S:
                turn += 1
                outcome = await self.stream(node, reader, writer, f"{self.number:02x}{turn:06x}")
                if outcome != "kept":
                    break
            writer.close()
            node = 1

    async def stream(self, node, reader, writer, request_id):
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": TIME_BUDGET_MS}
        stream = {
            "id": request_id,
            "node": node,
            "sent": self.record.now(),
            "events": 0,
            "status": None,
            "end": None,
        }
        outcome = "closed"
        try:
            await review.send(writer, "POST", f"/captions/{request_id}", headers, b"caption")
            self.record.add("sent", id=request_id, node=node + 1)
            message = await review.read_message(reader)
            if message is None:
                raise ConnectionError("closed")
            first, received = message
            stream["status"] = int(first.split(" ")[1])
            data = b""
            if received.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int((await reader.readline()).strip() or b"x", 16)
                    chunk = await reader.readexactly(size + 2)
                    if size == 0:
                        break
                    data += chunk[:-2]
                    stream["events"] = data.count(b"\n\n")
            else:
                data = await review.read_body(reader, received)
            stream["end"] = "whole"
            closes = received.get("connection", "").lower() == "close"
            outcome = "closed" if closes else "kept"
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            stream["end"] = "cut"
        stream["ended"] = self.record.now()
        self.streams.append(stream)
        self.record.add(
            "answered" if stream["end"] == "whole" else "channel-ended",
            id=request_id,
            node=node + 1,
            status=stream["status"],
            events=stream["events"],
        )
        return outcome


async def play(record, has_trouble):
    store = await review.Store(record).start()
    await store.put("config", "main", config())
    samplers = []
    for number in range(SAMPLERS):
        sampler = StreamSampler(record, f"i-captions-{number}")
        await sampler.start()
        await sampler.register(store)
        samplers.append(sampler)
    nodes = review.Nodes(record, [store.address] * 2, {"grace_s": GRACE_S})
    clients = [Client(number, nodes, record) for number in range(CLIENTS)]
    stopped_at = None
    try:
        nodes.start_all()
        await nodes.wait_until_ready()
        await asyncio.sleep(0.5)
        record.started += record.now()
        running = asyncio.gather(*(client.run() for client in clients))
        await asyncio.sleep(SIGTERM_AT_S)
        if has_trouble:
            nodes.signal(0, "SIGTERM")
            stopped_at = record.now()
            while not nodes.has_ended(0) and record.now() < stopped_at + GRACE_S:
                await asyncio.sleep(0.02)
            record.add("process-ended" if nodes.has_ended(0) else "process-runs", node=1)
            if not nodes.has_ended(0):
                nodes.kill(0)
        await asyncio.wait_for(running, 60)
    finally:
        nodes.stop_all()
    streams = [stream for client in clients for stream in client.streams]
    cut = [stream for stream in streams if stream["end"] == "cut"]
    last_work = {}
    for sampler in samplers:
        last_work.update(sampler.last_work)
    lost = [stream for stream in cut if is_lost(stream, stopped_at, last_work)]
    record.add("summary", streams=len(streams), cut=len(cut), lost=len(lost))
    for stream in lost:
        record.add(
            "LOST",
            id=stream["id"],
            sent_after_sigterm=f"{stream['sent'] - (stopped_at or 0):.2f}",
            cut_after_sigterm=f"{stream['ended'] - (stopped_at or 0):.2f}",
            events=f"{stream['events']}/{EVENTS}",
        )
    if not any(stream["end"] == "whole" for stream in streams):
        raise review.CannotRun("no stream was served")
    return not lost


def is_lost(stream, stopped_at, last_work):
    """The rule with its excuses, of a channel that ended without a complete answer."""
    if stopped_at is None:
        # Without planned work nothing may be cut here.
        return True
    if stream["id"] not in last_work:
        # It was not passed on to a sampler.
        return False
    in_planned_work = stopped_at <= stream["ended"] <= stopped_at + GRACE_S + 1
    budget_reached = stream["ended"] - stream["sent"] >= TIME_BUDGET_MS / 1000
    at_work_late = last_work[stream["id"]] >= stopped_at + GRACE_S * 5 / 6
    sent_early = stream["sent"] <= stopped_at + 3
    return in_planned_work and not budget_reached and not (at_work_late and sent_early)


review.run_case(HERE, play)
