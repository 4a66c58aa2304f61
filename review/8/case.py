"""Nodes that follow a seed keep an old configuration when that seed loses the store and the next
seed is frozen."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin2"))

from kit import HOST, Sampler, Store, call, make_nodes, run_case

# Of the sheet of rac-firweir-grown.
BOUNDS = {"leaving_ms": 3000, "config_apply_ms": 3000, "contact_ms": 4000}
CONFIG_APPLY_S = BOUNDS["config_apply_ms"] / 1e3
SEEDS, FOLLOWERS = 3, 9
EPISODES = 5
FROZEN_S = 4.0
CUT_S = 4.5
CALM_S = 7.0


def config(version, service):
    return {
        "version": version,
        "routes": [{"name": "live", "host": HOST, "pathPrefix": "/live/", "kind": "idempotent",
                    "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2, "maxAttempts": 2,
                    "service": service}],
        "services": [{"name": name, "healthPath": "/health", "maxConnections": 500}
                     for name in ("old", "new")],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }


async def client(record, node, prefix, sent, until):
    """Sends a request every 50 ms and notes when."""
    at = 0
    while time.monotonic() < until:
        name = f"{prefix}-{node.name}-{at}"
        sent[name] = time.monotonic()
        await call(node.client, "POST", f"/live/{at}",
                   {"X-Request-Id": name, "X-Deadline-Ms": "1500"})
        at += 1
        await asyncio.sleep(0.05)


def followed_seed(nodes, work):
    """The seed from which most followers have their newest configuration, by their logs."""
    counts = [0] * SEEDS
    for node in nodes[SEEDS:]:
        log = (Path(work) / f"{node.name}.log").read_text()
        taken = [line for line in log.splitlines() if "event=config_taken" in line]
        for at, seed in enumerate(nodes[:SEEDS]):
            counts[at] += bool(taken) and taken[-1].endswith(f"from=seed:127.0.0.1:{seed.peer}")
    return counts.index(max(counts))


async def scenario(record, work, nodes, trouble):
    store = Store(record)
    await store.start()
    await store.put("config", "main", config(1, "old"))
    samplers = [Sampler(store, record, service, f"i-{service}-{at}", slots=24)
                for service in ("old", "new") for at in range(3)]
    for sampler in samplers:
        await sampler.start()
    paths = [await store.path() for _ in range(SEEDS)]
    ports = {at: path.port for at, path in enumerate(paths)}
    nodes.extend(make_nodes(record, store.port, SEEDS + FOLLOWERS, work, ports, bounds=BOUNDS))
    for node in nodes:
        node.start()
    for node in nodes:
        if not await node.wait_ready():
            return 2
    await asyncio.sleep(6.0)
    services = ("new", "old")
    late = 0
    for episode in range(EPISODES):
        cut = followed_seed(nodes, work)
        frozen = nodes[(cut + 1) % SEEDS]
        path = paths[cut]
        if trouble:
            # Both begin together: one seed is partitioned from the store, the next one stands still.
            await path.after_watch_answer()
            path.cut()
            record.add("cut", node=nodes[cut].name)
            frozen.signal(signal.SIGSTOP)
        version = 10 * (episode + 1)
        now_service = services[episode % 2]
        await store.put("config", "main", config(version, now_service))
        confirmed = time.monotonic()
        record.add("configuration_confirmed", version=version, service=now_service)
        sent = {}
        clients = [client(record, node, f"e{episode}", sent, confirmed + 5.5)
                   for node in nodes[SEEDS:]]

        async def end_trouble():
            await asyncio.sleep(FROZEN_S)
            if trouble:
                frozen.signal(signal.SIGCONT)
                await asyncio.sleep(CUT_S - FROZEN_S)
                path.heal()
                record.add("healed", node=nodes[cut].name)

        await asyncio.gather(end_trouble(), *clients)
        ran = {request: sampler.service for sampler in samplers
               for _, request, _, _ in sampler.runs}
        stale = {name: at - confirmed for name, at in sent.items()
                 if at > confirmed + CONFIG_APPLY_S and ran.get(name, now_service) != now_service}
        late += len(stale)
        by_node = sorted({name.split("-", 1)[1].rsplit("-", 1)[0] for name in stale})
        record.add("judged", episode=episode, sent=len(sent), run_by_the_old_service=len(stale),
                   nodes=",".join(by_node) or "none",
                   latest_s=f"{max(stale.values(), default=0):.2f}")
        await asyncio.sleep(CALM_S)
    return 1 if late else 0


run_case(HERE, scenario)
