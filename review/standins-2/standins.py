"""Stand-ins of the platform for the scripts of this review: the store, replicas and clients.

Everything runs in one process on loopback addresses. The nodes are the project's own program, one
process each, started with the command of the deploy file. Each node reaches the store at an address
of its own, so that the store can turn single nodes away.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S
TX_S = 0.005
FORM_S = 0.3
JOIN_CACHED_S = 0.2
STALL_S = 5.0
HOST = "calls.example"


class Record:
    """Writes `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()
        self.broken = []

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
        self.file.flush()

    def violation(self, text):
        self.broken.append(text)
        self("BROKEN " + text)


def abort(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


async def read_head(reader):
    """Reads the head of a request or response: the first line's words and the headers."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def answer(status, body=b"", headers=()):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def owner_of(peer, address, pids):
    """Returns which of the processes opened a connection from `peer` to `address`."""

    def text(pair):
        return "{:08X}:{:04X}".format(int.from_bytes(socket.inet_aton(pair[0]), "little"), pair[1])

    ends = (text(peer), text(address))
    with open("/proc/net/tcp", encoding="ascii") as table:
        inodes = [line.split()[9] for line in table if tuple(line.split()[1:3]) == ends]
    for pid in pids if inodes else []:
        try:
            for entry in os.scandir(f"/proc/{pid}/fd"):
                try:
                    if os.readlink(entry.path) == f"socket:[{inodes[0]}]":
                        return pid
                except OSError:
                    continue
        except OSError:
            continue
    return None


class Listener:
    """An HTTP server whose connections can be reset together."""

    def __init__(self, handler, wait_while_cut=None):
        self.handler = handler
        self.wait_while_cut = wait_while_cut
        self.writers = set()
        self.server = None
        self.address = None

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                if self.wait_while_cut:
                    await self.wait_while_cut(writer)
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if self.wait_while_cut:
                    await self.wait_while_cut(writer)
                # A caller that closes ends the handling of its request.
                if not await self.handler(line[0], line[1], headers, body, writer, reader):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError, IndexError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Stops listening and resets all connections, as when the process crashes."""
        self.server.close()
        self.reset()

    def reset(self):
        for writer in list(self.writers):
            abort(writer)


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.ver = 0
        self.down = False
        self.away = False
        self.era = None
        self.refused = set()
        self.changed = asyncio.Event()
        self.on_tx = []

    async def listen(self, node):
        async def handler(method, target, headers, body, writer, reader):
            status, result = await self.call(node, method, target, body)
            if self.away or status is None:
                abort(writer)
                return False
            era = [("Store-Era", self.era)] if self.era else []
            writer.write(answer(status, result, era))
            await writer.drain()
            return True

        return await Listener(handler).start()

    def copy(self):
        """Returns a copy from which the store may come back."""
        return self.ver, dict(self.rows), list(self.history)

    def come_back(self, copy):
        """Comes back from a copy: what was written since is gone, and a new era begins."""
        self.ver, self.rows, self.history = copy[0], dict(copy[1]), list(copy[2])
        self.era += 1
        self.away = False
        self.record(f"the store is back at version {self.ver}, era {self.era}")
        self.wake()

    def turns_away(self, node):
        return self.down or node in self.refused

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def call(self, node, method, target, body):
        await asyncio.sleep(0.004)
        if self.away:
            return None, None
        if self.turns_away(node):
            return 503, {}
        path, _, query = target.partition("?")
        args = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        if (method, path) == ("POST", "/rows-tx"):
            await asyncio.sleep(TX_S)
            return self.transact(node, json.loads(body))
        if (method, path) == ("GET", "/rows-get"):
            rows = [self.row(key) for key in sorted(self.rows) if key[0] == args["table"]]
            return 200, {"rows": rows, "has_more": False, "ver": self.ver, "now_ms": now_ms()}
        if (method, path) == ("GET", "/rows-feed"):
            return await self.feed(node, args)
        return 404, {}

    async def feed(self, node, args):
        after = int(args["after_rev"])
        until = time.monotonic() + int(args.get("wait_ms", "0")) / 1000
        era = self.era
        while True:
            if self.away:
                return None, None
            if self.turns_away(node):
                return 503, {}
            if after > self.ver or era != self.era:
                return 410, {}
            rows = [it for it in self.history if it["ver"] > after and it["table"] == args["table"]]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": self.ver, "now_ms": now_ms()}
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, node, tx):
        for row in tx.get("expected_rev", []):
            key = (row["table"], row["key"])
            if self.rows.get(key, (0, None))[0] != row["ver"]:
                current = [self.row((it["table"], it["key"])) for it in tx["expected_rev"]
                           if (it["table"], it["key"]) in self.rows]
                return 412, {"rows": current, "ver": self.ver, "now_ms": now_ms()}
        self.ver += 1
        for row in tx.get("writes", []):
            self.write((row["table"], row["key"]), base64.b64decode(row["value"]))
        for row in tx.get("remove", []):
            self.write((row["table"], row["key"]), None)
        for hook in self.on_tx:
            hook(node, tx)
        self.wake()
        return 200, {"ver": self.ver, "now_ms": now_ms()}

    def write(self, key, value):
        row = {"table": key[0], "part": "", "key": key[1], "ver": self.ver}
        if value is None:
            self.rows.pop(key, None)
            row["removed"] = True
        else:
            self.rows[key] = (self.ver, value)
            row["value"] = base64.b64encode(value).decode()
        self.history.append(row)

    def row(self, key):
        ver, value = self.rows[key]
        return {"table": key[0], "part": "", "key": key[1], "ver": ver,
                "value": base64.b64encode(value).decode()}

    def put(self, table, key, value):
        """Writes a row of the operator or of a replica."""
        self.ver += 1
        self.write((table, key), json.dumps(value).encode() if value is not None else None)
        self.wake()


def now_ms():
    return int(time.monotonic() * 1000)


class Replica:
    """A replica: a member of groups if its service has an engine, else a plain server."""

    def __init__(self, fleet, service, zone, domain=None, slots=8):
        self.fleet = fleet
        self.record = fleet.record
        self.id = f"i-{random.getrandbits(40):010x}"
        self.service, self.zone, self.domain, self.slots = service, zone, domain, slots
        self.listener = Listener(self.handle, self.wait_while_cut)
        self.cut_from = set()
        self.up = False
        self.reaches_store = True
        self.state = "ready"
        self.says_leaving = False
        self.running = 0
        self.reset_life()
        self.staged = []
        self.era = fleet.store.era
        self.last_beat = 0.0
        self.next_beat = time.monotonic() + random.uniform(0.1, HEARTBEAT_S)
        self.listed = None

    def reset_life(self):
        self.born = int(time.time() * 1000)
        self.group = None
        self.last_model = None
        self.epoch = 0
        self.loading = 0
        self.seq = 0

    async def start(self):
        await self.listener.start()
        self.up = True
        self.beat()
        return self

    async def wait_while_cut(self, writer):
        """Holds what comes on a connection of a process that this replica is cut off from.

        What was sent on a connection that its sender has closed before the cut ends is lost.
        """
        if not self.cut_from:
            return
        peer = writer.get_extra_info("peername")
        pids = [node.process.pid for node in self.fleet.nodes if node.process]
        owner = peer and owner_of(peer, self.listener.address, pids)
        while owner in self.cut_from:
            await asyncio.sleep(0.1)
            if owner not in self.cut_from and not owner_of(peer, self.listener.address, [owner]):
                owner = None
        if owner is None:
            # The sender closed it, so nothing of it may be handled.
            raise ConnectionError("closed by its sender")

    @property
    def address(self):
        return "{}:{}".format(*self.listener.address)

    def crash(self):
        self.record(f"replica {self.id} crashes")
        self.up = False
        self.listener.stop()
        self.reset_life()

    # What the replica says of itself.

    def engine_state(self):
        state = {"born": self.born, "stage": "colocated", "models": []}
        if self.domain is None:
            return state
        state |= {"domain": self.domain, "staged": list(self.staged)}
        if self.group:
            group = self.group
            state["models"] = [{"name": group["model"], "version": 1, "adapters": []}]
            state["group"] = {"name": group["name"], "epoch": group["epoch"],
                              "rank": group["members"].index(self.id), "state": group["state"]}
        return state

    def row(self):
        return self.engine_state() | {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold_left_ms": 0}

    def beat(self):
        """Tells the store of a change or of its life, if it reaches the store."""
        store = self.fleet.store
        if not self.up or not self.reaches_store or store.down or store.away:
            return
        if self.era != store.era:
            # The row may be gone, so it is written again.
            self.era, self.listed = store.era, None
        self.last_beat = time.monotonic()
        row = self.row()
        if row != self.listed:
            self.listed = row
            store.put("servers", self.id, row)

    def check_lapse(self):
        silent = time.monotonic() - self.last_beat
        store = self.fleet.store
        is_listed = ("servers", self.id) in store.rows
        if is_listed and silent > LAPSE_S and not (store.down or store.away):
            self.listed = None
            self.record(f"store drops the entry of {self.id}")
            self.fleet.store.put("servers", self.id, None)

    # Requests.

    def own_headers(self, headers):
        out = []
        if "x-tanagerhub-request-id" in headers:
            out.append(("X-Tanagerhub-Request-Id", headers["x-tanagerhub-request-id"]))
        if self.says_leaving:
            out.append(("Server-Leaving", "1"))
        return out

    async def handle(self, method, target, headers, body, writer, reader):
        out = self.own_headers(headers)
        expected = headers.get("x-tanagerhub-expect-instance")
        if expected not in (None, self.id):
            writer.write(answer(421, b"", out + [("X-Tanagerhub-Not-Run", "1")]))
            await writer.drain()
            return True
        if target == "/report":
            report = self.engine_state() | {"busy": self.loading > 0, "seq": self.seq, "waiting": 0,
                                            "running": self.running, "handles": 0}
            writer.write(answer(200, report, out))
        elif target == "/order":
            status = self.order(json.loads(body))
            writer.write(answer(status, b"{}", out))
        elif target == "/health":
            status = 200 if self.state == "ready" and not self.says_leaving else 503
            writer.write(answer(status, b"", out + [("X-Tanagerhub-Instance-Id", self.id)]))
        else:
            return await self.run(method, target, headers, body, writer, out)
        await writer.drain()
        return True

    async def run(self, method, target, headers, body, writer, out):
        request = headers.get("x-tanagerhub-request-id", "-")
        refusal = out + [("X-Tanagerhub-Not-Run", "1")]
        if self.domain is not None and not self.serves():
            writer.write(answer(421 if self.group is None else 503, b"", refusal))
            await writer.drain()
            return True
        if self.running >= self.slots:
            writer.write(answer(503, b"", refusal))
            await writer.drain()
            return True
        self.running += 1
        born = self.born
        try:
            self.fleet.ran(self, request, method, target, headers, body)
            stamp = [("X-Tanagerhub-Server-Stamp", f"{random.getrandbits(64):016x}")]
            if self.domain is None:
                await asyncio.sleep(self.fleet.work_s)
                writer.write(answer(200, f"{request} by {self.id}".encode(), out + stamp))
                await writer.drain()
                return True
            return await self.stream(headers, writer, out + stamp, born)
        finally:
            if self.born == born:
                self.running -= 1
                if self.running == 0 and self.group and self.group["state"] == "closing":
                    self.set_group_state("ready")

    async def stream(self, headers, writer, out, born):
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in out]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, self.fleet.events + 1):
            await asyncio.sleep(self.fleet.event_s)
            while self.up and self.group and self.missing() and self.group["state"] != "broken":
                await asyncio.sleep(0.02)
            if not self.up or self.born != born or not self.group or self.group["state"] == "broken":
                abort(writer)
                return False
            await self.wait_while_cut(writer)
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def serves(self):
        group = self.group
        return group is not None and group["members"][0] == self.id and group["state"] in (
            "open", "closing")

    def missing(self):
        """Returns whether a member of the group of this head no longer takes part in it."""
        group = self.group
        for name in group["members"]:
            member = self.fleet.by_id.get(name)
            if member is None or not member.up or member.group is None or (
                    member.group["name"], member.group["epoch"]) != (group["name"], group["epoch"]):
                return True
        return False

    # Orders.

    def set_group_state(self, state):
        self.group["state"] = state
        self.record(f"replica {self.id} is {state} in {self.group['name']}/{self.group['epoch']}")
        self.beat()

    def order(self, order):
        status = getattr(self, "order_" + order["op"], lambda _: 400)(order)
        short = {key: value for key, value in order.items() if key != "op"}
        self.record(f"replica {self.id} {order['op']} {json.dumps(short)} -> {status}")
        return status

    def later(self, delay, action):
        born = self.born

        async def run():
            await asyncio.sleep(delay)
            if self.up and self.born == born:
                action()

        self.fleet.spawn(run())

    def order_join(self, order):
        if order["epoch"] < self.epoch:
            return 412
        group = self.group
        if group and (group["name"], group["epoch"]) == (order["group"], order["epoch"]):
            return 200 if group["members"] == order["members"] else 412
        self.fleet.check_join(self, order)
        self.epoch = order["epoch"]
        self.seq += 1
        model = self.fleet.models[order["model"]]
        if self.last_model == order["model"]:
            delay = JOIN_CACHED_S
        elif order["model"] in self.staged:
            delay = model["warm_s"]
        else:
            delay = self.fleet.load_time(model)
        self.group = {"name": order["group"], "epoch": order["epoch"], "model": order["model"],
                      "members": order["members"], "state": "joining", "since": None}
        self.loading += 1
        self.beat()
        joined = self.group

        def finish():
            self.loading -= 1
            self.staged = [order["model"]]
            self.last_model = order["model"]
            if self.group is joined and joined["state"] == "joining":
                self.set_group_state("ready")

        self.later(delay, finish)
        return 202

    def matches(self, order):
        group = self.group
        return group and (group["name"], group["epoch"]) == (order["group"], order["epoch"])

    def order_open(self, order):
        if not self.matches(order) or self.group["members"][0] != self.id:
            return 409
        if self.group["state"] == "open":
            return 200
        if self.group["state"] != "ready":
            return 409
        self.seq += 1
        opened = self.group

        def finish():
            if self.group is opened and opened["state"] == "ready":
                self.set_group_state("open")

        self.later(FORM_S, finish)
        return 202

    def order_close(self, order):
        if not self.matches(order):
            return 409
        if self.group["state"] in ("open", "broken"):
            self.seq += 1
            self.set_group_state("closing" if self.running else "ready")
            return 202
        return 200

    def order_leave(self, order):
        if not self.matches(order):
            return 200
        self.seq += 1
        self.group = None
        self.beat()
        return 202

    def order_stage(self, order):
        if order["model"] in self.staged:
            return 200
        self.loading += 1
        self.seq += 1

        def finish():
            self.loading -= 1
            self.staged = [order["model"]]
            self.beat()

        self.later(self.fleet.load_time(self.fleet.models[order["model"]]), finish)
        return 202

    def check_stall(self):
        if not self.up or not self.group or self.group["members"][0] != self.id:
            return
        if self.group["state"] in ("open", "closing") and self.missing():
            self.group["since"] = self.group["since"] or time.monotonic()
            if time.monotonic() - self.group["since"] > STALL_S:
                self.set_group_state("broken")
        else:
            self.group["since"] = None


class Fleet:
    """The replicas, and the rules that they can check."""

    def __init__(self, record, store):
        self.record, self.store = record, store
        self.by_id = {}
        self.models = {}
        self.in_use = False
        self.work_s, self.event_s, self.events = 0.015, 0.02, 20
        self.runs = []
        self.nodes = []
        self.tasks = set()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def add(self, *args, **named):
        replica = await Replica(self, *args, **named).start()
        self.by_id[replica.id] = replica
        return replica

    def load_time(self, model):
        return model["load_s"] if self.in_use else model["load_s"] / 10

    def ran(self, replica, request, method, target, headers, body):
        self.runs.append((time.monotonic(), replica.id, request, headers))
        self.record(f"replica {replica.id} runs {request} {method} {target}")

    def check_join(self, replica, order):
        """TWO: the head of the replica's present group must not be open, closing or stalled."""
        group = replica.group
        if group is None or group["name"] == order["group"]:
            return
        head = self.by_id.get(group["members"][0])
        same = head and head.up and head.group and (head.group["name"], head.group["epoch"]) == (
            group["name"], group["epoch"])
        if same and head.group["state"] in ("open", "closing"):
            self.record.violation(
                f"TWO: {replica.id} takes a join of {order['group']}/{order['epoch']} while the "
                f"head {head.id} of its group {group['name']}/{group['epoch']} is "
                f"{head.group['state']}")

    async def keep(self):
        while True:
            await asyncio.sleep(0.05)
            for replica in self.by_id.values():
                if time.monotonic() >= replica.next_beat:
                    replica.next_beat = time.monotonic() + HEARTBEAT_S
                    replica.beat()
                replica.check_lapse()
                replica.check_stall()

    def renew_leases(self, late, delay):
        """Starts all leases anew, since they did not run while the store was down. Those of `late`
        next write their rows after `delay`, the others at times spread over a heartbeat."""
        now = time.monotonic()
        for replica in self.by_id.values():
            replica.last_beat = now
            replica.next_beat = now + random.uniform(0.1, HEARTBEAT_S)
        for replica in late:
            replica.next_beat = now + delay


class Node:
    """One process of the system."""

    def __init__(self, record, name, zone, zones, host, store_address, folder, ports, bounds=None,
                 bootstrap=True):
        self.record, self.name, self.zone, self.host = record, name, zone, host
        self.front, self.ready_port, self.peers = ports
        self.path = Path(folder) / f"{name}.toml"
        self.log = Path(folder) / f"{name}.log"
        self.process = None
        bounds = {"stable_window_ms": 3000, "drain_ms": 2000, "grace_s": 8,
                  "config_deadline_ms": 2000, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
                  "retry_budget_slack": 103, "cold_over": 1.5, "cold_slack": 5,
                  "stall_ms": int(STALL_S * 1000)} | (bounds or {})
        zone_lines = "\n".join(f'{it} = "area"' for it in zones)
        bound_lines = "\n".join(f"{key} = {value}" for key, value in bounds.items())
        self.text = f"""node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "{host}"
zone = "{zone}"
region = "area"
port_range = [{self.peers},{self.peers + 3}]
seeds = []
bootstrap = BOOTSTRAP
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
{zone_lines}
[listen]
front = "{host}:{self.front}"
ready = "{host}:{self.ready_port}"
[limits]
memory_mb = 260
max_fds = 4200
[bounds]
{bound_lines}
[platform]
address = "{store_address[0]}:{store_address[1]}"
form = "table"
"""
        self.bootstrap = bootstrap

    def start(self):
        self.path.write_text(self.text.replace("BOOTSTRAP", "true" if self.bootstrap else "false"))
        self.bootstrap = False
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = next(iter(deploy["roles"].values()))["run"].split()
        command[0] = str(ROOT / command[0])
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log,
                env={"TANAGERHUB_SETTINGS": str(self.path), "PATH": os.environ.get("PATH", "")})
        self.record(f"node {self.name} starts")

    def signal(self, number):
        self.record(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                call((self.host, self.ready_port), "GET", "/ready", {}), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False

    async def state(self):
        status, _, body = await asyncio.wait_for(
            call((self.host, 9464), "GET", "/state", {}), 1)
        return json.loads(body)


async def call(address, method, target, headers, body=b""):
    """Sends one request on a new connection; returns status, headers and the whole body."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in ({"Host": HOST} | headers).items()]
        lines += [f"Content-Length: {len(body)}", "Connection: close"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        line, answered = await read_head(reader)
        if "content-length" in answered or "transfer-encoding" in answered:
            content = await read_body(reader, answered)
        else:
            content = await reader.read()
        return int(line[1]), answered, content
    finally:
        writer.close()


def free_network():
    """Returns a random loopback prefix, and ports that are free on it."""
    prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
    ports = []
    while len(ports) < 3:
        port = random.randint(20_000, 29_000)
        try:
            with socket.socket() as probe, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                probe.bind((f"{prefix}.10", port))
                udp.bind((f"{prefix}.10", port))
            ports.append(port)
        except OSError:
            continue
    return prefix, ports


class Deployment:
    """A small deployment on loopback. `play` gets it once it serves."""

    def __init__(self, folder, zones, nodes_by_zone):
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.zones, self.nodes_by_zone = zones, nodes_by_zone
        self.temp = tempfile.mkdtemp(prefix="review-2-")
        self.nodes = []

    async def prepare(self):
        self.store = Store(self.record)
        self.fleet = Fleet(self.record, self.store)
        self.fleet.nodes = self.nodes
        self.fleet.spawn(self.fleet.keep())
        prefix, ports = free_network()
        index = 0
        for zone, count in zip(self.zones, self.nodes_by_zone):
            for number in range(count):
                name = f"front-{zone}-{number + 1}"
                listener = await self.store.listen(name)
                host = f"{prefix}.{10 + index}"
                index += 1
                self.nodes.append(Node(self.record, name, zone, self.zones, host,
                                       listener.address, self.temp, ports))

    async def wait_for(self, what, condition, limit):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await condition() if asyncio.iscoroutinefunction(condition) else condition():
                return
            await asyncio.sleep(0.05)
        raise Unusable(f"{what} within {limit} s")

    async def nodes_ready(self):
        return all([await node.is_ready() for node in self.nodes])

    def close(self):
        for node in self.nodes:
            node.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


class Unusable(Exception):
    """The case could not run."""


def main(folder, zones, nodes_by_zone, play, limit=110):
    """Runs a case. The exit code tells whether the rule was broken (1), held (0) or not tested (2)."""

    async def run(deployment):
        await deployment.prepare()
        await asyncio.wait_for(play(deployment), limit)

    def stop(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    deployment = Deployment(folder, zones, nodes_by_zone)
    code = 2
    try:
        asyncio.new_event_loop().run_until_complete(run(deployment))
        code = 1 if deployment.record.broken else 0
    except Exception as error:  # whatever stops the case, it has not tested the rule
        deployment.record(f"the case could not run: {error!r}")
    finally:
        deployment.close()
        deployment.record(f"exit code {code}")
    text = deployment.record.broken[0] if code == 1 else ["the rule held", "", "not run"][code]
    print(text, flush=True)
    # Ends at once, without the tasks that still wait.
    os._exit(code)
