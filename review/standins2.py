"""Stand-ins for the platform, the servers, the operator and the clients of
wigeonlb-node, and a launcher of its processes. Used by the scripts of review/.

The stand-ins speak what PROTOCOL.md says and run in one asyncio loop. The
processes of the project are started as the deploy file says, with a settings
file rendered from deploy/node.toml.template, each on a loopback address of its
own. Every event goes into a record with the seconds since the start.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
NODE = ROOT / "target/bin/wigeonlb-node"
TEMPLATE = ROOT / "deploy/node.toml.template"

CONTROL_PORT, FRONT_PORT, HEALTH_PORT, PEER_PORT, OPERATOR_PORT = (
    8782, 8784, 8785, 7440, 7441)
SERVER_PORT, PLATFORM_PORT = 8080, 8783
HEARTBEAT_S = 1.2
ACKNOWLEDGED_WITHIN_S = 1.0  # "a 2xx response acknowledges if it arrives within a second"


# A case that is ended early still ends its processes.
signal.signal(signal.SIGTERM, signal.default_int_handler)


class CannotRun(Exception):
    """The case could not run: nothing can be said about the rule."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def render(template, values):
    """Fills in the placeholders of the template that the platform fills in."""
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}",
                  lambda found: str(values.get(found.group(1), "")), template)


class Network:
    """A range of loopback addresses in which the needed ports are free."""

    def __init__(self):
        for _ in range(50):
            self.prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            if self.is_free():
                return
        raise CannotRun("no free loopback addresses")

    def is_free(self):
        for host in range(1, 40):
            for port in (CONTROL_PORT, FRONT_PORT, HEALTH_PORT, PEER_PORT,
                         OPERATOR_PORT, SERVER_PORT, PLATFORM_PORT):
                with socket.socket() as probe:
                    try:
                        probe.bind((f"{self.prefix}.{host}", port))
                    except OSError:
                        return False
        return True

    def ip(self, host):
        return f"{self.prefix}.{host}"


class Node:
    """One process of the project."""

    def __init__(self, system, name, ip, zone, control):
        self.system, self.name, self.ip = system, name, ip
        self.zone, self.control = zone, control
        self.process = None
        self.started_before = False
        self.folder = system.folder / name
        self.folder.mkdir()

    def start(self):
        # "the `control` addresses of three machines"
        seeds = ",".join(f"{node.ip}:{CONTROL_PORT}" for node in self.system.controls[:3])
        first = not self.started_before
        values = {
            "ip": self.ip, "zone": self.zone, "node_name": self.name,
            "listen.front": "" if self.control else f"{self.ip}:{FRONT_PORT}",
            "listen.health_addr": "" if self.control else f"{self.ip}:{HEALTH_PORT}",
            "listen.control": f"{self.ip}:{CONTROL_PORT}" if self.control else "",
            "internal_port_range.0": PEER_PORT, "internal_port_range.1": OPERATOR_PORT,
            "seeds": seeds, "bootstrap": "true" if first else "false",
            "fault_tolerance.machines": 1,
            "data_dir": str(self.folder / "data") if self.control else "",
            "bounds.grace_s": 6,
            "cloud_api.address": f"{self.system.network.ip(1)}:{PLATFORM_PORT}",
        }
        settings = self.folder / "boot.toml"
        settings.write_text(render(TEMPLATE.read_text(), values))
        self.started_before = True
        log = open(self.folder / "log", "a")
        self.process = subprocess.Popen(
            [str(NODE)], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": "/",
                 "WIGEONLB_NODE_FILE": str(settings)})
        log.close()
        self.system.record.write(f"node {self.name} started")

    def lose_disk(self):
        """Empties the data folder of a process that has ended."""
        shutil.rmtree(self.folder / "data", ignore_errors=True)
        self.system.record.write(f"node {self.name} has lost its disk")

    def signal(self, number):
        self.system.record.write(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class System:
    """The processes of the project, with one core machine in each zone."""

    def __init__(self, record, fronts=3, zones=("centro-a", "centro-b", "centro-c")):
        if not NODE.exists():
            raise CannotRun(f"{NODE} is not built")
        self.record = record
        self.network = Network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="wigeonlb-review-"))
        self.controls, self.fronts, self.added = [], [], []
        for index, zone in enumerate(zones):
            self.controls.append(Node(self, f"core-{zone}-1",
                                      self.network.ip(11 + index), zone, True))
        for index in range(fronts):
            zone = zones[index % len(zones)]
            self.fronts.append(Node(self, f"front-{zone}-{index // len(zones) + 1}",
                                    self.network.ip(21 + index), zone, False))
        self.callable = self.controls  # that the operator and the servers call

    def start(self):
        for node in self.controls + self.fronts:
            node.start()

    def close(self, keep=False):
        for node in self.controls + self.fronts + self.added:
            node.stop()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


async def http_call(address, method, path, body=None, headers=(), timeout=1.0):
    """Returns (status, body), or (None, reason) without an answer."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else (
                body if isinstance(body, bytes) else json.dumps(body).encode())
            lines = [f"{method} {path} HTTP/1.1", f"Host: {address}",
                     "Content-Type: application/json", f"Content-Length: {len(data)}",
                     "Connection: close", *[f"{name}: {value}" for name, value in headers]]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            answer = await reader.read()
            head, _, rest = answer.partition(b"\r\n\r\n")
            return int(head.split()[1]), rest
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError) as error:
        return None, repr(error).encode()


class Operator:
    """Sends configurations and reads them back, as the pages tell."""

    def __init__(self, system, record):
        self.system, self.record = system, record

    async def put(self, document, seconds):
        """Sends a configuration until it is acknowledged or the time is over."""
        body = json.dumps(document).encode()
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            node = self.system.callable[number % len(self.system.callable)]
            number += 1
            status, text = await http_call(
                f"{node.ip}:{CONTROL_PORT}", "PUT", "/config", body, timeout=2.0)
            self.record.write(f"operator: version {document['version']} to {node.name}: "
                              f"{status} {text[:120].decode(errors='replace')}")
            if status == 200:
                return True
            if status in (400, 409, 412, 413, 422):
                return False
            await asyncio.sleep(0.3)
        return False


    async def get(self, seconds):
        """Reads the configuration at one node after another until it comes;
        returns its version, or None."""
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            node = self.system.callable[number % len(self.system.callable)]
            number += 1
            status, text = await http_call(
                f"{node.ip}:{CONTROL_PORT}", "GET", "/config", timeout=2.0)
            self.record.write(f"operator: read at {node.name}: {status}")
            if status == 200:
                return json.loads(text)["version"]
            await asyncio.sleep(0.3)
        return None


class Database:
    """A service: one primary and its replicas, as the pages describe them."""

    def __init__(self, record, name, sync_replicas, promote_s=0.6,
                 receive_s=0.002, apply_s=0.008):
        self.record, self.name, self.sync = record, name, sync_replicas
        self.promote_s, self.receive_s, self.apply_s = promote_s, receive_s, apply_s
        self.servers = []
        self.term = 1
        self.promotions = []  # (server, log at that moment)

    def primary(self):
        return next((each for each in self.servers if each.role == "primary"), None)

    def find(self, server_id):
        return next((each for each in self.servers if each.id == server_id), None)

    async def replicate(self, source, entry):
        """Sends a commit to the replicas; returns when one has received it, or
        at once if none must."""
        received = asyncio.Event()
        for server in self.servers:
            if server is not source:
                asyncio.ensure_future(self.deliver(source, server, received))
        if self.sync == 0:
            return True
        while not received.is_set():
            if not source.running or source.role != "primary":
                return False
            if any(other.holds(entry) for other in self.servers
                   if other is not source and other.running):
                return True
            try:
                await asyncio.wait_for(received.wait(), 0.02)
            except asyncio.TimeoutError:
                continue
        return source.running and source.role == "primary"

    async def deliver(self, source, server, received=None):
        await asyncio.sleep(self.receive_s)
        if not (server.running and source.running) or server.deaf:
            return
        if server.role != "replica" or source.role != "primary":
            return
        server.follow(source)
        if received is not None:
            received.set()
        length = len(server.log)
        await asyncio.sleep(self.apply_s)
        server.applied = max(server.applied, min(length, len(server.log)))

    async def catch_up(self, server):
        """Lets a replica receive what it lacks."""
        primary = self.primary()
        if primary is not None and primary is not server:
            await self.deliver(primary, server)

    async def promote(self, server):
        await asyncio.sleep(self.promote_s)
        if not server.running or server.role == "primary":
            return
        former = self.primary()
        self.term += 1
        server.role, server.term = "primary", self.term
        server.applied = len(server.log)
        self.promotions.append((server, list(server.log)))
        self.record.write(f"platform: {server.id} leads term {self.term} from "
                          f"position {server.position()}")
        for other in self.servers:
            if other is server:
                continue
            if other is former:
                other.role = "replica"
            if other.running and not other.deaf:
                other.follow(server)
                other.applied = len(other.log)
                server.database.record.write(f"{other.id} follows {server.id}")


class Server:
    """One database server."""

    def __init__(self, database, server_id, address, zone, role, system, slots=3,
                 max_conns=22, log=()):
        self.database, self.id, self.address = database, server_id, address
        self.zone, self.role, self.system = zone, role, system
        self.slots, self.max_conns = slots, max_conns
        self.term = database.term
        self.log = list(log)  # (term, number, request id, item, data)
        self.applied = len(self.log)
        self.running = False
        self.deaf = False
        self.state = "ready"
        self.acknowledged_draining = None
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.listener = None
        self.writers = set()
        self.busy = 0
        self.commits = 0
        self.tasks = []
        database.servers.append(self)

    def position(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else "-"

    def applied_position(self):
        if self.applied == 0:
            return "-"
        return f"{self.log[self.applied - 1][0]}.{self.log[self.applied - 1][1]}"

    def holds(self, entry):
        return entry in self.log[-400:]

    def follow(self, primary):
        """Takes over the log of the primary, and drops what it does not have."""
        if self.log != primary.log[:len(self.log)]:
            self.log = list(primary.log)
            self.applied = min(self.applied, len(self.log))
        else:
            self.log.extend(primary.log[len(self.log):])
        self.term = primary.term

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.running = True
        self.listener = await asyncio.start_server(
            self.serve, host, int(port), reuse_address=True)
        self.tasks = [asyncio.ensure_future(self.beat()),
                      asyncio.ensure_future(self.receive())]
        self.database.record.write(f"{self.id} starts as {self.role} at {self.address} "
                                   f"with position {self.position()}")

    def crash(self, why):
        self.database.record.write(f"{self.id} {why} at position {self.position()}")
        self.running = False
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()

    async def receive(self):
        while True:
            if self.role == "replica" and not self.deaf:
                await self.database.catch_up(self)
            await asyncio.sleep(0.05)

    def body(self):
        self.sequence += 1
        return {"service": self.database.name, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "cold_remaining_ms": 0, "db_role": self.role,
                "seq_no": self.sequence, "born": self.born}

    async def announce(self):
        """One heartbeat, to one node after another until it is acknowledged."""
        for node in random.sample(self.system.callable, len(self.system.callable)):
            state = self.state
            status, _ = await http_call(
                f"{node.ip}:{CONTROL_PORT}", "PUT", f"/instances/{self.id}",
                self.body(), timeout=ACKNOWLEDGED_WITHIN_S)
            if status is not None and 200 <= status < 300:
                if state == "draining" and self.acknowledged_draining is None:
                    self.acknowledged_draining = time.monotonic()
                    self.database.record.write(
                        f"{self.id}: draining acknowledged by {node.name}")
                return True
        return False

    async def beat(self):
        last_role = self.role
        while True:
            await self.announce()
            for _ in range(24):
                await asyncio.sleep(HEARTBEAT_S / 24)
                if self.role != last_role:
                    last_role = self.role
                    break

    async def leave(self):
        """The end of a planned shutdown."""
        for node in random.sample(self.system.callable, len(self.system.callable)):
            status, _ = await http_call(
                f"{node.ip}:{CONTROL_PORT}", "DELETE", f"/instances/{self.id}",
                {"born": self.born}, timeout=ACKNOWLEDGED_WITHIN_S)
            self.database.record.write(f"{self.id}: DELETE to {node.name}: {status}")
            if status is not None and 200 <= status < 300:
                break
        self.crash("exits")

    # The wire.

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await Connection(self, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Connection:
    def __init__(self, server, reader, writer):
        self.server, self.reader, self.writer = server, reader, writer
        self.state, self.plain = "I", False
        self.writes = []
        self.prepared, self.values = {}, {}

    def send(self, *lines):
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())

    def ready(self):
        server = self.server
        position = server.position() if server.role == "primary" \
            else server.applied_position()
        self.send(f"READY {self.state} {position}")

    async def run(self):
        line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
        words = line.split(" ")
        server = self.server
        if len(server.writers) > server.max_conns:
            self.send("ERROR CONNLIMIT too many")
            return
        wrong = words[0] != "STARTUP" or words[1] != server.database.name or (
            len(words) > 3 and words[3] != server.id)
        if wrong:
            self.send(f"ERROR WRONGNODE {server.id}")
            return
        await asyncio.sleep(0.004)
        self.ready()
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
            if line.startswith("TERMINATE"):
                return
            _, request, text = line.split(" ", 2)
            await self.query(request, text)
            await self.writer.drain()

    def fail(self, code, text="-"):
        if self.state == "T":
            self.state = "E"
        self.send(f"ERROR {code} {text}")
        self.ready()

    def complete(self, request, *rows):
        server = self.server
        sign = "-" if request == "-" else (
            f"{server.term}.{server.id}.{request}.{random.getrandbits(32):08x}")
        self.send(*[f"DATAROW {row}" for row in rows], f"COMPLETE {sign}")
        self.ready()

    async def query(self, request, text):
        server = self.server
        floor = None
        if text.startswith("WAITLSN "):
            _, position, text = text.split(" ", 2)
            floor = tuple(int(part) for part in position.split("."))
        word, _, rest = text.partition(" ")
        if word == "STATUS":
            lag = 0
            self.send(f"DATAROW {server.role} {server.term} {server.position()} 0 {lag} "
                      f"{server.busy} {len(server.writers)}", "COMPLETE -")
            self.ready()
            return
        if word in ("SET", "PREPARE", "DEALLOCATE", "DISCARD"):
            self.remember(word, rest)
            self.complete("-")
            return
        if self.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            self.fail("MALFORMED", "the transaction has failed")
            return
        if floor is not None and not self.reached(floor):
            self.fail("LAGGING", server.applied_position())
            return
        server.busy += 1
        await asyncio.sleep(random.uniform(0.002, 0.006))
        server.busy -= 1
        if not server.running:
            return
        await self.execute(request, word, rest)

    def remember(self, word, rest):
        if word == "DISCARD":
            self.prepared, self.values = {}, {}
        elif word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
        elif word == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.prepared[name] = shape
        else:
            self.prepared.pop(rest, None)

    def reached(self, floor):
        server = self.server
        length = len(server.log) if server.role == "primary" else server.applied
        if length == 0:
            return False
        return tuple(server.log[length - 1][:2]) >= floor

    async def execute(self, request, word, rest):
        server = self.server
        lost_lead = server.role != "primary"
        if word == "BEGIN":
            if rest != "READ" and lost_lead:
                self.fail("READONLY", server.id)
                return
            self.state, self.plain, self.writes = "T", rest != "READ", []
            self.complete(request)
        elif word == "ROLLBACK":
            self.state, self.writes = "I", []
            self.complete(request)
        elif word == "COMMIT":
            if self.state == "E" or not self.writes:
                self.state, self.writes = "I", []
                self.complete(request)
                return
            if lost_lead:
                self.fail("READONLY", server.id)
                return
            await self.commit(request)
        elif word == "READ":
            if self.state == "T" and self.plain and lost_lead:
                self.fail("READONLY", server.id)
                return
            self.complete(request, f"row-{rest}")
        elif word == "WRITE":
            item, _, data = rest.partition(" ")
            if lost_lead or (self.state == "T" and not self.plain):
                self.fail("READONLY", server.id)
                return
            self.writes.append((request, item, data))
            if self.state == "T":
                self.complete(request)
            else:
                await self.commit(request)
        else:
            self.fail("MALFORMED", word)

    async def commit(self, request):
        server = self.server
        number = server.log[-1][1] + 1 if server.log else 1
        entry = (server.term, number, request, *self.writes[-1][1:])
        server.log.append(entry)
        server.database.record.write(
            f"{server.id} commits {request} at {server.term}.{number}")
        server.applied = len(server.log)
        self.state, self.writes = "I", []
        if await server.database.replicate(server, entry):
            self.complete(request)
        else:
            self.writer.transport.abort()


class Platform:
    """POST /promote with its fence."""

    def __init__(self, record, network, databases):
        self.record = record
        self.address = (network.ip(1), PLATFORM_PORT)
        self.databases = {each.name: each for each in databases}
        self.fences = {}

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, *self.address)

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = {name.lower(): value.strip() for name, _, value in
                       (line.partition(":") for line in head.split("\r\n")[1:])}
            body = json.loads(await reader.readexactly(int(headers["content-length"])))
            status = self.promote(headers, body)
            writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: 2\r\n"
                         "Connection: close\r\n\r\n{}".encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, KeyError):
            pass
        finally:
            writer.close()

    def promote(self, headers, body):
        token = int(headers["x-fencing-token"])
        service = body["service"]
        database = self.databases[service]
        server = database.find(body["id"])
        status = 200
        if token < self.fences.get(service, 0) or server is None or not server.running:
            status = 409
        else:
            self.fences[service] = token
            if server.role != "primary":
                asyncio.ensure_future(database.promote(server))
        self.record.write(f"platform: promote {body['id']} by "
                          f"{headers['x-lease-holder']} with {token}: {status}")
        return status


class Client:
    """One session at a front node."""

    def __init__(self, record, name, address, database):
        self.record, self.name = record, name
        self.address, self.database = address, database
        self.reader = self.writer = None

    async def open(self):
        host, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 2)
        self.writer.write(f"STARTUP {self.database} {self.name}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2)
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode())

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def query(self, text, timeout=3.0):
        """Returns (outcome, signature or code, state). Outcomes: done, error, lost."""
        request = f"{random.getrandbits(64):016x}"
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        outcome, detail = "lost", ""
        try:
            while True:
                line = (await asyncio.wait_for(
                    self.reader.readuntil(b"\r\n"), timeout)).decode()[:-2]
                word, _, rest = line.partition(" ")
                if word == "COMPLETE":
                    outcome, detail = "done", rest
                elif word == "ERROR":
                    outcome, detail = "error", rest
                elif word == "READY":
                    return request, outcome, detail, rest.split(" ")[0]
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return request, "lost", detail, "?"
