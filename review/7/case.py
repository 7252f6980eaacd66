"""A planner that starts while the store is down plans by rows that are older than the outage."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from standins import HOST, Unusable, call, main  # noqa: E402

ZONES = ["zone-a", "zone-b", "zone-c"]
MODEL = {"name": "m0", "size": 2, "pace": 1.0, "share": 1.0, "load_s": 12.0, "warm_s": 1.1}
CONFIG = {
    "version": 3,
    "routes": [{"name": "stream", "host": HOST, "prefix": "/stream/", "kind": "streaming",
                "resumable": True, "service": "llm", "timeout_ms": 8000, "target_latency_ms": 400,
                "gap_aim_ms": 300, "priority": 1, "max_attempts": 2}],
    "services": [{"name": "llm", "cold_per_s": 0, "health_path": "/health", "engine": {
        "slots": 17, "kv_capacity": 1860000, "read_per_s": 45900, "models": [MODEL],
        "loads_per_s": 5.0, "loads_at_once": 7}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 2000,
               "idle_timeout_ms": 15000},
}
# How long the store is down.
DOWN_S = 4.5
# When the nodes are killed, after the store has gone down, and how long they take to start again.
KILL_S = 3.7
RESTART_S = 0.4
# When the spare, and the head of its group, next write their rows after the store's return; less
# than a heartbeat.
NEXT_BEAT_S = 1.15


async def traffic(play, node, number):
    """One client that sends a stream after the other through one node."""
    count = 0
    while True:
        count += 1
        request = f"{number:02x}{count:06x}"
        headers = {"X-Tanagerhub-Request-Id": request, "X-Tanagerhub-Model": "m0",
                   "X-Tanagerhub-Token-Counts": "500,100",
                   "X-Tanagerhub-Prompt-Prefix": f"aa:40,{request}:460",
                   "X-Tanagerhub-Deadline-Ms": "8000"}
        try:
            status, _, body = await asyncio.wait_for(
                call((node.host, node.front), "POST", "/stream/x", headers, b"text"), 8)
            play.record(f"client {request} by {node.name}: {status}, {len(body)} bytes")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            play.record(f"client {request} by {node.name}: {error!r}")
        await asyncio.sleep(0.05)


def heads(fleet):
    return [it for it in fleet.by_id.values() if it.up and it.group and it.group["state"] == "open"]


def spare_of(fleet, domain):
    for replica in fleet.by_id.values():
        if replica.domain == domain and replica.group is None and replica.staged == ["m0"]:
            return replica
    return None


async def play(deployment):
    record, store, fleet = deployment.record, deployment.store, deployment.fleet
    fleet.models = {"m0": MODEL}
    planner = {}
    written = {}

    def on_tx(node, tx):
        for row in tx.get("writes", []):
            if (row["table"], row["key"]) == ("groups", "planner"):
                if planner.get("node") != node:
                    record(f"planner's row written by {node}")
                planner["node"] = node
            if row["table"] == "nodes":
                written[node] = time.monotonic()

    store.on_tx.append(on_tx)
    store.put("op", "config", CONFIG)
    for zone in ZONES:
        for _ in range(5):
            await fleet.add("llm", zone, domain=f"fabric-{zone}", slots=17)
    for node in deployment.nodes:
        node.start()
    await deployment.wait_for("all nodes ready", deployment.nodes_ready, 20)
    await deployment.wait_for("six groups open", lambda: len(heads(fleet)) == 6, 20)
    domains = [f"fabric-{zone}" for zone in ZONES]
    await deployment.wait_for(
        "a spare in each domain", lambda: all(spare_of(fleet, it) for it in domains), 20)
    fleet.in_use = True
    for number, node in enumerate(deployment.nodes * 4):
        fleet.spawn(traffic(deployment, node, number))
    await asyncio.sleep(6)

    old = planner["node"]
    spare = spare_of(fleet, domains[0])
    groups = sorted((it for it in heads(fleet) if it.domain == domains[0]),
                    key=lambda it: int(it.group["name"], 16))
    if len(groups) != 2 or spare is None:
        raise Unusable("the first domain has not two groups and a spare")
    low, high = groups
    low_member = fleet.by_id[low.group["members"][1]]
    high_member = fleet.by_id[high.group["members"][1]]
    epoch = high.group["epoch"]
    record(f"planner {old}; spare {spare.id}; groups {low.group['name']}, {high.group['name']}")
    if not deployment.trouble:
        await asyncio.sleep(20)
        return

    record("the store is down")
    start = time.monotonic()
    store.down = True
    store.wake()
    await asyncio.sleep(0.1)
    high_member.crash()

    def has_joined():
        group = spare.group
        return group and group["epoch"] > epoch and group["state"] == "ready"

    await deployment.wait_for("the spare in the other group", has_joined, 4)
    record(f"{spare.id} is in {spare.group['name']} after {time.monotonic() - start:.2f} s")
    low_member.crash()
    await asyncio.sleep(max(0.0, start + KILL_S - time.monotonic()))
    if high.group["state"] != "open":
        raise Unusable("the group with the spare is not open yet")
    record("all nodes are killed")
    for node in deployment.nodes:
        node.process.kill()
    for node in deployment.nodes:
        node.process.wait()
    await asyncio.sleep(RESTART_S)
    for node in deployment.nodes:
        node.start()
    await asyncio.sleep(max(0.0, start + DOWN_S - time.monotonic()))
    record("the store is up")
    store.down = False
    fleet.renew_leases([spare, high], NEXT_BEAT_S)
    await asyncio.sleep(10)


main(FOLDER, ZONES, [1, 1, 1], play)
