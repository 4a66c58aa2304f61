"""After a route was split with all of its weight on a new service, items still run on the old one."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin2"))

from kit import BOUNDS, HOST, Sampler, Store, call, make_nodes, run_case, step_body

CONFIG_APPLY_S = BOUNDS["config_apply_ms"] / 1e3
ITEMS = 16
STEPS = 3
LIVE_CALLS = 30


def config(version, target):
    """A route for steps and one for live requests, both with the same target."""
    return {
        "version": version,
        "routes": [
            {"name": "lots", "host": HOST, "pathPrefix": "/lots/", "kind": "rollout",
             "timeoutMs": 10000, "targetLatencyMs": 400, "priority": 1, "maxAttempts": 3,
             "queueTtlS": 40.0, "runAimMs": 7500, "singleVersion": False, "sticky": True,
             "resumable": True, **target},
            {"name": "live", "host": HOST, "pathPrefix": "/live/", "kind": "idempotent",
             "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2, "maxAttempts": 2,
             **target},
        ],
        "services": [{"name": name, "healthPath": "/health", "maxConnections": 170,
                      "engine": {"slots": 12, "kvCapacity": 33955}} for name in ("old", "new")],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }


async def scenario(record, work, nodes, trouble):
    store = Store(record)
    await store.start()
    await store.put("config", "main", config(1, {"service": "old"}))
    samplers = [Sampler(store, record, service, f"i-{service}-{at}", ["m0"])
                for service in ("old", "new") for at in range(3)]
    for sampler in samplers:
        await sampler.start()
    nodes.extend(make_nodes(record, store.port, 3, work))
    for node in nodes:
        node.start()
    for node in nodes:
        if not await node.wait_ready():
            return 2
    await asyncio.sleep(1.0)

    async def submit(name, node):
        status, _, _ = await call(node.client, "POST", f"/lots/{name}",
                                  {"X-Request-Id": name, "X-Deadline-Ms": "3000"},
                                  step_body(1, "m0", ITEMS, name))
        record.add("submitted", lot=name, status=status)
        return status == 202

    if not await submit("before", nodes[0]):
        return 2
    await asyncio.sleep(2.0)
    split = {"trafficSplit": [{"service": "old", "weight": 0}, {"service": "new", "weight": 100}]}
    await store.put("config", "main", config(4, split if trouble else {"service": "new"}))
    confirmed = time.monotonic()
    record.add("configuration_confirmed", version=4, split=trouble)
    # Twice the bound, and in touch all the while.
    await asyncio.sleep(2 * CONFIG_APPLY_S)
    for at in range(STEPS):
        if not await submit(f"after{at}", nodes[at % 3]):
            return 2
    for at in range(LIVE_CALLS):
        name = f"live{at}"
        await call(nodes[at % 3].client, "POST", f"/live/{at}",
                   {"X-Request-Id": name, "X-Deadline-Ms": "1500"})
    await asyncio.sleep(4.0)

    def runs(service, prefix):
        return sum(1 for sampler in samplers if sampler.service == service
                   for at, request, _, _ in sampler.runs
                   if request.startswith(prefix) and at > confirmed + CONFIG_APPLY_S)

    for service in ("old", "new"):
        record.add("ran_after_the_bound", service=service, items=runs(service, "after"),
                   live=runs(service, "live"))
    if runs("old", "after") + runs("new", "after") < STEPS * ITEMS:
        return 2
    # CONFIG: run by the old service, which only the older version allows.
    return 1 if runs("old", "after") or runs("old", "live") else 0


run_case(HERE, scenario)
