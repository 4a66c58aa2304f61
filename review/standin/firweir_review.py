"""Stand-ins and process control for the scripts of this review.

Everything listens on loopback addresses and free ports. The platform's store, the samplers and
the clients follow the users' pages; a script adds the one disruption that it is about.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "firweir-platform")
HOST = "fleet.example"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def now(self):
        return time.monotonic() - self.started

    def add(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}".rstrip() + "\n")


def free_ports(count):
    """Ports that are free now; all are reserved at once, so that they differ."""
    sockets = [socket.socket() for _ in range(count)]
    for open_socket in sockets:
        open_socket.bind(("127.0.0.1", 0))
    ports = [open_socket.getsockname()[1] for open_socket in sockets]
    for open_socket in sockets:
        open_socket.close()
    return ports


async def read_message(reader):
    """Reads a request or an answer: first line, headers in lower case, body."""
    line = await reader.readline()
    if not line:
        return None
    first = line.decode("latin-1").rstrip("\r\n")
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1")
        if not line:
            raise ConnectionError("ended in the head")
        line = line.rstrip("\r\n")
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Reads a whole body, with a length or in chunks; an incomplete one is an error."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"x", 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


def answer_bytes(status, headers=None, body=b""):
    """An answer with a length."""
    reason = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone"}
    lines = [f"HTTP/1.1 {status} {reason.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def query_of(target):
    path, _, query = target.partition("?")
    pairs = (pair.partition("=") for pair in query.split("&") if pair)
    return path, {name: value for name, _, value in pairs}


class Server:
    """A loopback HTTP/1.1 server, one task a channel."""

    def __init__(self):
        self.server = None
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        try:
            writer.transport.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
            await self.channel(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The script is over.
            return
        finally:
            writer.close()

    async def channel(self, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: objects with revisions, conditional writes, lists and watches."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        # Called before a call is done; returns None, or bytes that are answered instead.
        self.refuse = None
        # Called after a call was done; true if its answer is lost.
        self.loses_answer = None

    async def put(self, kind, name, spec):
        """Writes an object as the operator, a sampler or a trainer does."""
        self._write(kind, name, spec, None)
        await self._notify()

    async def remove_entry(self, kind, name):
        """Removes an object, as a sampler that leaves does."""
        self._write(kind, name, None, None, deleted=True)
        await self._notify()

    def get(self, kind, name):
        found = self.objects.get((kind, name))
        return found and found["spec"]

    def names(self, kind):
        return sorted(name for of, name in self.objects if of == kind)

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    def _write(self, kind, name, spec, status, deleted=False):
        self.revision += 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": 1,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        if deleted:
            self.objects.pop((kind, name), None)
        else:
            self.objects[(kind, name)] = stored
        self.history.append((self.revision, kind, stored, deleted))
        return stored

    async def channel(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            first, headers = message
            method, target, _ = first.split(" ")
            body = await read_body(reader, headers)
            path, query = query_of(target)
            parts = path.removeprefix("/v1/objects/").split("/")
            call = (method, parts, query, body)
            refused = self.refuse and self.refuse(writer, *call)
            if refused:
                writer.write(refused)
                continue
            status, answer = await self._answer(*call)
            if self.loses_answer and self.loses_answer(writer, *call):
                # The channel of a lost answer answers nothing any more.
                await reader.read()
                return
            data = json.dumps(answer).encode()
            writer.write(answer_bytes(status, {"Content-Type": "application/json"}, data))
            await writer.drain()

    async def _answer(self, method, parts, query, body):
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
        if method == "GET" and name is None:
            return self._list(kind, query.get("after", ""))
        found = self.objects.get((kind, name))
        if method == "GET":
            return (200, found) if found else (404, {})
        sent = json.loads(body) if body else {}
        if method == "POST":
            name = sent["metadata"]["name"]
            found = self.objects.get((kind, name))
            if found:
                return 409, found
            stored = self._write(kind, name, sent.get("spec"), None)
            await self._notify()
            return 200, stored
        if not found:
            return 404, {}
        expected = sent.get("metadata", {}).get("revision") or query.get("revision")
        if expected is not None and int(expected) != found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            self._write(kind, name, None, None, deleted=True)
            await self._notify()
            return 200, {}
        spec, status = sent.get("spec"), found["status"]
        if parts[2:] == ["status"]:
            spec, status = found["spec"], sent.get("status")
        if (spec, status) == (found["spec"], found["status"]):
            return 200, found
        stored = self._write(kind, name, spec, status)
        await self._notify()
        return 200, stored

    def _list(self, kind, after):
        names = [name for name in self.names(kind) if name > after]
        items = [self.objects[(kind, name)] for name in names[:500]]
        return 200, {
            "items": items,
            "hasMore": len(names) > 500,
            "currentRev": self.revision,
        }

    async def _watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                {"object": stored, "deleted": deleted}
                for revision, of, stored, deleted in self.history
                if of == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Sampler(Server):
    """A sampler; subclasses say how it runs a request."""

    def __init__(self, record, name, service, slots):
        super().__init__()
        self.record = record
        self.name = name
        self.service = service
        self.slots = slots

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
        }

    async def register(self, store):
        await store.put("servers", self.name, self.entry())

    def stamp(self, request_id):
        return f"{self.name}.{request_id}"


class Nodes:
    """The `front` processes of the deploy file, with settings like those of a small site."""

    def __init__(self, record, store_addresses, bounds=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="firweir-review-")
        self.processes = []
        self.settings = []
        count = len(store_addresses)
        ports = free_ports(count * 4)
        self.client = [ports[4 * n] for n in range(count)]
        self.ready = [ports[4 * n + 1] for n in range(count)]
        self.peer = [ports[4 * n + 2] for n in range(count)]
        seeds = [f"127.0.0.1:{port}" for port in self.peer[:3]]
        for number, store in enumerate(store_addresses):
            settings = {
                "node": f"front-z1-{number + 1}",
                "zone": "z1",
                "store": store,
                "store_reads_per_s": 2000.0,
                "client_listen": f"127.0.0.1:{self.client[number]}",
                "ready_listen": f"127.0.0.1:{self.ready[number]}",
                "peer_listen": f"127.0.0.1:{self.peer[number]}",
                "metrics_listen": f"127.0.0.1:{ports[4 * number + 3]}",
                "seeds": seeds,
                "vm": {"cores": 1, "core_share": 0.25, "memory_mb": 260, "link_mbps": 1000.0},
                "leaving_ms": 2000,
                "grace_s": 8,
                "keep_results_s": 120,
                "end_applies_ms": 3000,
                "config_apply_ms": 2000,
                "lease_ms": 3000,
            }
            settings.update(bounds or {})
            path = os.path.join(self.folder, f"{settings['node']}.json")
            with open(path, "w") as file:
                json.dump(settings, file)
            self.settings.append(path)
            self.processes.append(None)

    def start(self, number):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is not built")
        log = open(os.path.join(self.folder, f"log-{number}.txt"), "a")
        environment = dict(os.environ, FIRWEIR_BOOT=self.settings[number])
        self.processes[number] = subprocess.Popen(
            [PROGRAM, "front"], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.record.add("process-started", node=number + 1, pid=self.processes[number].pid)

    def start_all(self):
        for number in range(len(self.processes)):
            self.start(number)

    def signal(self, number, name):
        self.record.add("signal", node=number + 1, name=name)
        self.processes[number].send_signal(getattr(signal, name))

    def kill(self, number):
        self.signal(number, "SIGKILL")
        self.processes[number].wait()

    def has_ended(self, number):
        return self.processes[number].poll() is not None

    def log(self, number):
        with open(os.path.join(self.folder, f"log-{number}.txt"), errors="replace") as file:
            return file.read()

    async def is_ready(self, number):
        try:
            status, _, _ = await call(self.ready[number], "GET", "/v1/ready", timeout=1)
            return status == 200
        except (OSError, ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, numbers=None):
        until = time.monotonic() + 15
        waiting = list(range(len(self.processes)) if numbers is None else numbers)
        while waiting:
            waiting = [number for number in waiting if not await self.is_ready(number)]
            if time.monotonic() > until:
                raise CannotRun(f"nodes {waiting} are not ready")
            await asyncio.sleep(0.05)

    def stop_all(self):
        for process in self.processes:
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def send(writer, method, target, headers=None, body=b""):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
    await writer.drain()


async def call(port, method, target, headers=None, body=b"", timeout=10.0):
    """One request on a channel of its own; returns status, headers and body."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            await send(writer, method, target, headers, body)
            message = await read_message(reader)
            if message is None:
                raise ConnectionError("no answer")
            first, received = message
            data = await read_body(reader, received)
            return int(first.split(" ")[1]), received, data
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


def run_case(folder, play):
    """Runs `play(record, has_trouble)`, which returns whether the rule held, and exits."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", trouble=int(has_trouble))

    async def main():
        # Channels that are open at the end are cancelled; that is no error.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, _context: None)
        # So that a script that is stopped ends its processes.
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(play(record, has_trouble), 110)

    try:
        held = asyncio.run(main())
        outcome = HELD if held else BROKEN
    except CannotRun as error:
        record.add("could-not-run", cause=str(error))
        outcome = NOT_RUN
    except (asyncio.TimeoutError, asyncio.CancelledError) as error:
        record.add("could-not-run", cause=type(error).__name__)
        outcome = NOT_RUN
    record.add("outcome", exit=outcome)
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[outcome])
    sys.exit(outcome)


class RolloutSampler(Sampler):
    """A model sampler: streams the events of items, reports, and loads weights on orders."""

    MODEL = "m0"
    LOAD_S = 0.3

    def __init__(self, record, name, service, slots, store, events=12, event_s=0.02):
        super().__init__(record, name, service, slots)
        self.store = store
        self.events = events
        self.event_s = event_s
        self.version = 1
        self.orders = 0
        self.loading = False
        # Ids of the items whose first event was made here, with the time.
        self.ran = []

    def models(self):
        return [{"name": self.MODEL, "version": self.version, "adapters": []}]

    def entry(self, state="ready"):
        return dict(super().entry(state), stage="both", models=self.models())

    async def channel(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            first, headers = message
            body = await read_body(reader, headers)
            _, target, _ = first.split(" ")
            if headers.get("x-expect-instance", self.name) != self.name:
                writer.write(answer_bytes(421, {"X-Request-Id": headers.get("x-request-id", "")}))
            elif target == "/v1/report":
                report = {
                    "stage": "both",
                    "models": self.models(),
                    "busy": self.loading,
                    "sequence": self.orders,
                    "waiting": 0,
                    "running": 0,
                    "kvUsed": 0,
                    "kvTotal": 90000,
                    "handles": 0,
                }
                writer.write(answer_bytes(200, {}, json.dumps(report).encode()))
            elif target == "/v1/order":
                writer.write(answer_bytes(self.take_order(json.loads(body)), {}, b"{}"))
            else:
                await self.run_item(headers, writer)
            await writer.drain()

    def take_order(self, order):
        self.record.add("order", sampler=self.name, **order)
        if self.loading or order.get("expected", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.loading = True
        asyncio.get_running_loop().create_task(self.load(order["version"]))
        return 202

    async def load(self, version):
        await asyncio.sleep(self.LOAD_S)
        self.version = version
        self.loading = False
        await self.register(self.store)

    async def run_item(self, headers, writer):
        item = headers.get("x-request-id", "")
        after = int(headers.get("last-event-id", 0))
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"X-Request-Id: {item}\r\nX-Server-Stamp: {self.stamp(item)}\r\n"
                f"X-Weight-Versions: {self.version}\r\nTransfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            if writer.is_closing():
                return
            if number == after + 1:
                self.ran.append((item, self.record.now()))
                self.record.add("runs", sampler=self.name, item=item)
            event = f"id: {number}\ndata: {item} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def rollout_config(service, slots):
    """A configuration with one route of the kind `rollout`."""
    return {
        "version": 1,
        "routes": [
            {
                "name": "lots",
                "host": HOST,
                "pathPrefix": "/lots/",
                "kind": "rollout",
                "timeoutMs": 10000,
                "targetLatencyMs": 400,
                "priority": 1,
                "service": service,
                "maxAttempts": 3,
                "queueTtlS": 40.0,
                "runAimMs": 7500,
                "singleVersion": False,
            }
        ],
        "services": [
            {
                "name": service,
                "healthPath": "/health",
                "maxConnections": 150,
                "engine": {"slots": slots, "kvCapacity": 90000},
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 8388608,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def batch_submission(batch, items, step):
    """The body of a batch submission in groups of two items."""
    listed = [
        {
            "id": f"{batch}i{number}",
            "path": f"/lots/{batch}/{number}",
            "headers": {"X-Model": RolloutSampler.MODEL, "X-Token-Usage": "100,400"},
            "body": "cHJvbXB0",
            "tokens": 500,
            "group": f"g{batch}{number // 2}",
        }
        for number in range(items)
    ]
    return json.dumps(
        {
            "step": step,
            "model": RolloutSampler.MODEL,
            "minVersion": 1,
            "targetCount": items // 2,
            "items": listed,
        }
    ).encode()
