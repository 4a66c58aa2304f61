"""Stand-ins of the platform for the scripts of this review: a metadata store, samplers and
clients on loopback, and a launcher for the project's own processes. They do what PROTOCOL.md
says; where it is silent they behave like a sound server."""

import asyncio
import base64
import bisect
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "release" / "firweir-platform"
HOST = "fleet.example"
VALUE_BYTES = 1 << 20

# Bounds of the smaller installations (jpra-ratecalc.toml, krs-firweir.toml).
BOUNDS = {
    "leaving_ms": 2000, "grace_s": 8, "keep_results_s": 120, "end_applies_ms": 3000,
    "config_apply_ms": 2000, "contact_ms": 3000, "lease_ms": 3000,
}


class Record:
    """What was sent, answered and run, in the order in which it happened."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.lines = []
        self.path = path

    def now(self):
        return time.monotonic() - self.started

    def add(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.lines.append(f"{self.now():9.3f} {what} {text}")

    def write(self):
        Path(self.path).write_text("\n".join(self.lines) + "\n")


def free_ports(count):
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind(("127.0.0.1", 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def read_message(reader):
    """First line, headers (lower case) and body of a message; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif lines[0].startswith("HTTP/") and lines[0].split(" ")[1] not in ("204", "304"):
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return lines[0], headers, None
    return lines[0], headers, body


def answer_bytes(status, body=b"", headers=()):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return text.encode("latin-1") + b"\r\n" + body


async def call(port, method, path, headers=(), body=b"", timeout=6.0):
    """Status, headers and body of an answer on a new channel; status 0 if there was none."""
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
        try:
            fields = {"Host": HOST, **dict(headers), "Content-Length": str(len(body))}
            text = f"{method} {path} HTTP/1.1\r\n"
            text += "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
            writer.write(text.encode("latin-1") + body)
            await writer.drain()
            message = await read_message(reader)
        finally:
            writer.close()
        if message is None or message[2] is None:
            return 0, {}, b""
        return int(message[0].split(" ")[1]), message[1], message[2]
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return 0, {}, b""


class Store:
    """The platform's metadata store: objects with revisions, conditional writes, watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.on_write = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]

    async def path(self):
        """A path of its own to the store for one machine; it can be cut without a reset."""
        path = StorePath(self)
        await path.start()
        return path

    async def put(self, kind, name, spec):
        """A write of the operator, a sampler or a trainer."""
        await self.store(kind, name, spec)

    async def remove(self, kind, name):
        if (kind, name) in self.objects:
            await self.store(kind, name, None)

    async def store(self, kind, name, spec, status=None):
        self.revision += 1
        before = self.objects.get((kind, name))
        created = before["metadata"]["created"] if before else self.revision
        entry = {
            "metadata": {"name": name, "revision": self.revision, "created": created,
                         "finalizers": [], "deleting": False},
            "spec": spec if spec is not None else before["spec"], "status": status,
        }
        if spec is None:
            del self.objects[(kind, name)]
        else:
            self.objects[(kind, name)] = entry
        self.history.append((self.revision, kind, {"deleted": spec is None, "object": entry}))
        self.changed.set()
        self.changed = asyncio.Event()
        return entry

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None and message[2] is not None:
                status, value = await self.handle(message[0], message[2])
                body = json.dumps(value).encode()
                writer.write(answer_bytes(status, body, [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, first, body):
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        options = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        parts = [part for part in path.split("/") if part][2:]
        kind = parts[0]
        if method == "GET" and len(parts) == 1 and "watch" in options:
            return await self.watch(kind, int(options["watch"]), int(options.get("waitMs", 0)))
        if method == "GET" and len(parts) == 1:
            return 200, self.page(kind, options.get("after", ""))
        if len(body) > VALUE_BYTES:
            return 413, {}
        sent = json.loads(body) if body else {}
        name = parts[1] if len(parts) > 1 else sent["metadata"]["name"]
        held = self.objects.get((kind, name))
        if method == "GET":
            return (200, held) if held else (404, {})
        if method == "POST":
            if held:
                return 409, held
        elif held is None:
            return 404, {}
        wanted = options.get("revision") or sent.get("metadata", {}).get("revision")
        if wanted and held and int(wanted) != held["metadata"]["revision"]:
            return 409, held
        if method == "DELETE":
            await self.store(kind, name, None)
            return 200, {}
        if len(parts) > 2:
            return 200, await self.store(kind, name, held["spec"], sent.get("status"))
        written = await self.store(kind, name, sent["spec"])
        if self.on_write:
            self.on_write(kind, name, sent["spec"])
        return 200, written

    def page(self, kind, after):
        names = sorted(name for held, name in self.objects if held == kind and name > after)
        items, size = [], 0
        for name in names[:500]:
            size += len(json.dumps(self.objects[(kind, name)]))
            if items and size > 1_000_000:
                break
            items.append(self.objects[(kind, name)])
        return {"items": items, "hasMore": len(items) < len(names), "currentRev": self.revision}

    async def watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1e3
        while True:
            at = bisect.bisect_right(self.history, since, key=lambda change: change[0])
            events = [event for _, held, event in self.history[at:] if held == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class StorePath:
    """A forwarding path to the store. While it is cut, nothing passes and nothing is reset."""

    def __init__(self, store):
        self.store, self.open = store, asyncio.Event()
        self.open.set()
        # Resolved when the next watch of the configuration has been answered.
        self.watch_answered = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def after_watch_answer(self):
        """Waits until a watch of the configuration has been answered on this path."""
        self.watch_answered = asyncio.get_running_loop().create_future()
        await self.watch_answered

    async def serve(self, reader, writer):
        try:
            onward = await asyncio.open_connection("127.0.0.1", self.store.port)
        except OSError:
            return writer.close()
        watching = []
        await asyncio.gather(self.pump(reader, onward[1], watching, True),
                             self.pump(onward[0], writer, watching, False))

    async def pump(self, reader, writer, watching, is_request):
        try:
            while data := await reader.read(1 << 16):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
                if is_request:
                    watching[:] = [b"/objects/config?watch=" in data]
                elif watching == [True] and self.watch_answered is not None:
                    if not self.watch_answered.done():
                        self.watch_answered.set_result(None)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Sampler:
    """A sampler: reports, orders to load weights, streams of events, plain answers."""

    def __init__(self, store, record, service, instance, models=(), slots=12, events=12,
                 event_s=0.05, load_s=0.9, zone="z1"):
        self.store, self.record = store, record
        self.service, self.instance, self.zone = service, instance, zone
        self.versions = {model: 1 for model in models}
        self.slots, self.events, self.event_s, self.load_s = slots, events, event_s, load_s
        self.sequence, self.busy, self.state = 0, False, "ready"
        self.born = int(time.time() * 1000)
        self.orders, self.runs = [], []
        self.running = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 26)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.write_entry()

    def models(self):
        return [{"name": name, "version": version, "adapters": []}
                for name, version in sorted(self.versions.items())]

    async def write_entry(self):
        await self.store.put("servers", self.instance, {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
            "stage": "both", "models": self.models(), "sequence": 1, "born": self.born,
        })

    async def leave(self):
        """Gone for good: the entry is removed and nothing listens any more."""
        self.server.close()
        await self.store.remove("servers", self.instance)

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None and message[2] is not None:
                await self.handle(message, reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, message, reader, writer):
        first, headers, body = message
        method, path, _ = first.split(" ")
        request = headers.get("x-request-id", "")
        echo = [("X-Request-Id", request)] if request else []
        if headers.get("x-expect-instance", self.instance) != self.instance:
            writer.write(answer_bytes(421, b"", echo + [("X-Instance-Id", self.instance)]))
        elif path == "/v1/report":
            report = {"stage": "both", "models": self.models(), "busy": self.busy,
                      "sequence": self.sequence, "waiting": 0, "running": self.running,
                      "kvUsed": 0, "kvTotal": 90000, "handles": 0, "born": self.born}
            writer.write(answer_bytes(200, json.dumps(report).encode()))
        elif path == "/v1/order":
            writer.write(answer_bytes(self.order(json.loads(body))))
        elif self.versions and method == "POST" and path.startswith("/lots/"):
            await self.stream(request, path, headers, writer, echo)
        else:
            self.log_run(request, method, path, headers, body)
            load = ("X-Instance-Load", f"1,0,{self.slots}")
            stamp = ("X-Server-Stamp", f"{self.instance}.{request}")
            writer.write(answer_bytes(200, self.answer(request), echo + [load, stamp]))
        await writer.drain()

    def answer(self, request):
        return f"answer of {self.instance} to {request}".encode()

    def log_run(self, request, method, path, headers, body):
        self.runs.append((time.monotonic(), request, headers, body))
        self.record.add("run", sampler=self.instance, service=self.service, request=request,
                        method=method, path=path[:60])

    def order(self, order):
        self.orders.append((time.monotonic(), order["holder"], order["fencingToken"],
                            order["model"], order["version"]))
        self.record.add("order", sampler=self.instance, holder=order["holder"],
                        epoch=order["fencingToken"], model=order["model"],
                        version=order["version"])
        if self.versions.get(order["model"], 0) >= order["version"]:
            return 200
        if self.busy or order.get("expected", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self.load(order["model"], order["version"]))
        return 202

    async def load(self, model, version):
        await asyncio.sleep(self.load_s)
        self.versions[model] = version
        self.busy = False
        await self.write_entry()

    def event_data(self, request, number):
        return f"{request} {number}"

    async def stream(self, request, path, headers, writer, echo):
        after = int(headers.get("last-event-id", "0"))
        model = headers.get("x-model", "")
        self.log_run(request, f"POST(after={after})", path, headers, b"")
        version = self.versions.get(model, 1)
        fields = echo + [("X-Server-Stamp", f"{self.instance}.{request}"),
                         ("X-Weight-Versions", str(version)),
                         ("Content-Type", "text/event-stream"),
                         ("Transfer-Encoding", "chunked")]
        text = "HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields) + "\r\n"
        writer.write(text.encode())
        self.running += 1
        try:
            for number in range(after + 1, self.events + 1):
                await asyncio.sleep(self.event_s)
                line = ""
                if self.versions.get(model, 1) != version:
                    version = self.versions.get(model, 1)
                    line = f"x-weight-versions: {version}\n"
                data = self.event_data(request, number)
                event = f"{line}id: {number}\ndata: {data}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                if writer.is_closing():
                    return
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


class Node:
    """One process of the project in the role front, with the command of the deploy file."""

    def __init__(self, record, name, store_port, seeds, folder, ports, memory_mb=110, bounds=None):
        self.record, self.name, self.folder = record, name, folder
        self.client, self.ready, self.peer, self.metrics = ports
        local = lambda port: f"127.0.0.1:{port}"
        settings = {
            "node": name, "zone": "z1", "store": local(store_port), "store_reads_per_s": 2000,
            "client_listen": local(self.client), "ready_listen": local(self.ready),
            "peer_listen": local(self.peer), "metrics_listen": local(self.metrics),
            "seeds": [local(seed) for seed in seeds],
            "vm": {"cores": 1, "core_share": 0.25, "memory_mb": memory_mb, "link_mbps": 1000.0,
                   "max_fds": 4100},
            **BOUNDS, **(bounds or {}),
        }
        self.settings = Path(folder) / f"{name}.json"
        self.settings.write_text(json.dumps(settings))
        self.process = None

    def start(self):
        log = open(Path(self.folder) / f"{self.name}.log", "ab")
        environment = {**os.environ, "FIRWEIR_BOOT": str(self.settings)}
        self.process = subprocess.Popen([str(PROGRAM), "front"], cwd=ROOT, stdout=log, stderr=log,
                                        env=environment)
        log.close()
        self.record.add("process_started", node=self.name, pid=self.process.pid)

    def signal(self, number):
        self.record.add("signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def wait_ready(self, timeout=15.0):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if (await call(self.ready, "GET", "/v1/ready", timeout=1.0))[0] == 200:
                return True
            await asyncio.sleep(0.05)
        return False


def make_nodes(record, store_port, count, folder, store_ports=None, **options):
    ports = free_ports(4 * count)
    groups = [ports[4 * at:4 * at + 4] for at in range(count)]
    seeds = [group[2] for group in groups[:3]]
    return [Node(record, f"front-{at + 1}", (store_ports or {}).get(at, store_port), seeds, folder,
                 group, **options) for at, group in enumerate(groups)]


def step_body(step, model, items, prefix, groups=None, min_version=1, headers=None):
    """The body of a batch submission of `items` items."""
    entries = [{
        "id": f"{prefix}i{at}", "path": f"/lots/{prefix}/{at}", "tokens": 500,
        "headers": {"X-Model": model, "X-Token-Usage": "100,400", **(headers or {})},
        "body": base64.b64encode(f"{prefix}i{at}".encode()).decode(), "group": f"g{at // 4}",
    } for at in range(items)]
    return json.dumps({"step": step, "model": model, "minVersion": min_version,
                       "targetCount": groups or max(1, items // 4), "items": entries}).encode()


def stop_all(nodes):
    """Ends all processes that the case started."""
    for node in nodes:
        if node.process and node.process.poll() is None:
            node.process.send_signal(signal.SIGCONT)
            node.process.kill()
            node.process.wait()


def run_case(folder, scenario, limit_s=100):
    """Runs a scenario; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(Path(folder) / "record.txt")
    work = tempfile.mkdtemp(prefix="firweir-review-")
    nodes = []
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2

    async def play():
        nonlocal code
        try:
            code = await asyncio.wait_for(scenario(record, work, nodes, trouble), limit_s)
        except asyncio.TimeoutError:
            record.add("cannot_run", cause="time limit")
        except Exception as error:
            # Whatever it is, the case couldn't run.
            record.add("cannot_run", cause=repr(error))
        finally:
            stop_all(nodes)
            if os.environ.get("KEEP"):
                record.add("logs", folder=work)
            else:
                shutil.rmtree(work, ignore_errors=True)
            record.add("result", code=code, trouble=int(trouble))
            record.write()
            # Tasks of the stand-ins may still wait.
            os._exit(code)

    if not PROGRAM.exists():
        record.add("cannot_run", cause="the program is not built")
        record.write()
        raise SystemExit(2)
    asyncio.run(play())
