"""Stand-ins for the users' platform: servers, operator, platform and clients.

They follow PROTOCOL.md and DEPLOY.md of the users' pages. One process plays all
of them; the hosts of wigeonlb are separate processes that are started with the
command of deploy/system.toml. All addresses are loopback addresses.
"""

import asyncio
import hashlib
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
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]

# The small deployment sites/benjelloun-orders.toml.
MEMORY_MB = 260
MAX_FDS = 4200
HEARTBEAT_MS = 1200
MAX_CONNS = 32
SLOTS = 2
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
          "tx_idle_ms": 3000}


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)  # each line at once
        self.start = time.monotonic()
        self.lines = []

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.lines.append(line)
        self.file.write(line + "\n")


def show(text):
    """A short text of one line for the record."""
    data = text if isinstance(text, bytes) else text.encode("latin-1")
    shown = data[:120].decode("latin-1").encode("unicode_escape").decode()
    return shown if len(data) <= 120 else f"{shown}... ({len(data)} bytes)"


class Ports:
    """Ports that are free on every address of a run."""

    def __init__(self, hosts):
        self.next = random.randrange(11000, 29000)
        self.hosts = hosts

    def take(self):
        while True:
            self.next += 1
            try:
                for host in self.hosts:
                    with socket.socket() as each:
                        each.bind((host, self.next))
            except OSError:
                continue
            return self.next


class Server:
    """A server of the service. It holds rows `item -> data` in numbered commits."""

    def __init__(self, world, name, zone, ip, port, role):
        self.world, self.id, self.zone = world, name, zone
        self.ip, self.port, self.role = ip, port, role
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.connections = 0
        self.work_s = 0.003
        self.slots = asyncio.Semaphore(SLOTS)
        self.executed = []  # (id, text, text of the prepared statement)
        self.term, self.log = world.term, []
        self.deaf = False  # receives nothing
        self.counts = True  # its receipt counts for sync_replicas
        self.running = True
        self.state = "ready"  # or "draining", in its heartbeats
        self.listener = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def position(self):
        return f"{self.term}.{len(self.log)}"

    async def listen(self):
        self.listener = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 22)

    def crash(self):
        """The process is gone: its connections are reset, and it says nothing."""
        self.running = False
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.world.record(f"{self.id} crashes")

    def signature(self, query_id, text, rows):
        content = "|".join([self.id, query_id, text, *rows])
        return "7." + hashlib.md5(content.encode("latin-1")).hexdigest()[:20]

    def read(self, statement):
        """The row of a statement: it depends on the statement's whole text."""
        return hashlib.sha256(statement.encode("latin-1")).hexdigest()[:16]

    async def serve(self, reader, writer):
        state = {"tx": "", "failed": False, "values": {}, "prepared": {},
                 "writes": []}
        started = False
        buffer = b""
        self.connections += 1
        self.writers.add(writer)
        try:
            while True:
                chunk = await reader.read(1 << 20)
                if not chunk or not self.running:
                    return
                *lines, buffer = (buffer + chunk).split(b"\r\n")
                out = []
                for line in lines:
                    if line.startswith(b"QUERY - SET "):
                        name, _, value = line[12:].partition(b" ")
                        state["values"][name] = value
                        out.append(b"COMPLETE -\r\n")
                        out.append(self.ready(state))
                        continue
                    text = line.decode("latin-1")
                    if not started:
                        started = self.startup(text, out)
                        if not started:
                            return
                        continue
                    if out:
                        writer.write(b"".join(out))
                        out = []
                    if not await self.query(text, state, writer):
                        return
                writer.write(b"".join(out))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.close()

    def startup(self, text, out):
        word, service, *rest = text.split(" ")
        wrong = (word != "STARTUP" or service != self.world.service
                 or (len(rest) > 1 and rest[1] != self.id))
        if wrong:
            out.append(f"ERROR WRONGNODE {self.id}\r\n".encode())
            return False
        out.append(f"READY I {self.position()}\r\n".encode())
        return True

    def ready(self, state):
        status = "E" if state["failed"] else "T" if state["tx"] else "I"
        return f"READY {status} {self.position()}\r\n".encode()

    async def query(self, line, state, writer):
        word, _, rest = line.partition(" ")
        if word == "TERMINATE":
            return False
        query_id, _, text = rest.partition(" ")
        answer = await self.run(query_id, text, state)
        writer.write("".join(each + "\r\n" for each in answer).encode("latin-1")
                     + self.ready(state))
        return True

    async def run(self, query_id, text, state):
        if text == "STATUS":
            row = (f"DATAROW {self.role} {self.term} {self.position()}"
                   f" {self.term} 0 0 {self.connections}")
            return [row, "COMPLETE -"]
        match = re.match(r"WAITLSN (\d+)\.(\d+) (.*)", text, re.S)
        if match:
            if int(match[2]) > len(self.log):
                return [f"ERROR LAGGING {self.id}"]
            text = match[3]
        verb, _, rest = text.partition(" ")
        if state["failed"] and verb not in ("COMMIT", "ROLLBACK"):
            return ["ERROR MALFORMED the transaction has failed"]
        if verb == "DISCARD":
            state["values"].clear()
            state["prepared"].clear()
            return ["COMPLETE -"]
        if verb == "SET":
            name, _, value = rest.partition(" ")
            state["values"][name.encode("latin-1")] = value.encode("latin-1")
            return ["COMPLETE -"]
        if verb == "PREPARE":
            name, _, definition = rest.partition(" ")
            state["prepared"][name] = definition
            return ["COMPLETE -"]
        if verb == "DEALLOCATE":
            state["prepared"].pop(rest, None)
            return ["COMPLETE -"]
        if verb == "BEGIN":
            if self.role != "primary" and rest != "READ":
                return [f"ERROR READONLY {self.id}"]
            state["tx"] = rest or "PLAIN"
            state["writes"] = []
            return ["COMPLETE -"]
        if verb in ("COMMIT", "ROLLBACK"):
            keeps = verb == "COMMIT" and not state["failed"]
            if keeps and state["writes"]:
                if self.role != "primary":
                    state["failed"] = True
                    return [f"ERROR READONLY {self.id}"]
                await self.world.commit(self, state["writes"])
            state["tx"], state["failed"], state["writes"] = "", False, []
            return [f"COMPLETE {self.signature(query_id, text, []) if keeps else '-'}"]
        return await self.statement(query_id, text, state)

    async def statement(self, query_id, text, state):
        verb, _, rest = text.partition(" ")
        definition = ""
        kind, statement = verb, text
        if verb == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            if name not in state["prepared"]:
                return [f"ERROR NOSTMT {name}"]
            definition = state["prepared"][name]
            kind = definition.partition(" ")[0]
            statement = f"{definition} {arguments}"
        if kind not in ("READ", "WRITE"):
            return ["ERROR MALFORMED unknown statement"]
        if kind == "WRITE" and self.role != "primary":
            return [f"ERROR READONLY {self.id}"]
        async with self.slots:
            await asyncio.sleep(self.work_s)
        self.executed.append((query_id, text, definition))
        self.world.record(f"{self.id} runs {show(query_id)} {show(text)}"
                          + (f", prepared as {show(definition)}" if definition else ""))
        rows = [self.read(statement)] if kind == "READ" else []
        if kind == "WRITE":
            if state["tx"]:
                state["writes"].append(statement)
            else:
                await self.world.commit(self, [statement])
        return [*(f"DATAROW {row}" for row in rows),
                f"COMPLETE {self.signature(query_id, text, rows)}"]

    def announcement(self):
        self.sequence += 1
        return {"service": self.world.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": SLOTS,
                "state": self.state, "cold_remaining_ms": 0,
                "db_role": self.role, "seq_no": self.sequence, "born": self.born}

    async def announce(self):
        turn = 0
        while self.running:
            body = self.announcement()
            for _ in range(len(self.world.control)):
                status = await http("PUT", self.world.control[turn].control,
                                    f"/instances/{self.id}", body)
                if status is not None and status[0] // 100 == 2:
                    break
                turn = (turn + 1) % len(self.world.control)
            await asyncio.sleep(HEARTBEAT_MS / 1000)


async def http(method, address, path, body=None, headers=None, timeout=1.0):
    """Returns (status, body); None if there was no response in time."""
    ip, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", f"Host: {address}",
                     "Content-Type: application/json", "Connection: close",
                     f"Content-Length: {len(data)}",
                     *(f"{key}: {value}" for key, value in (headers or {}).items())]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            response = await reader.read(-1)
        finally:
            writer.close()
        head, _, content = response.partition(b"\r\n\r\n")
        return int(head.split()[1]), content

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None


class Host:
    """One process of wigeonlb, started as the deploy file says."""

    started = []  # every process of this run

    def __init__(self, world, role, name, ip, zone):
        self.world, self.role, self.name, self.ip, self.zone = (
            world, role, name, ip, zone)
        self.front = f"{ip}:{world.ports['front']}"
        self.health = f"{ip}:{world.ports['health_addr']}"
        self.control = f"{ip}:{world.ports['control']}"
        self.process = None
        self.ends = []  # return codes of processes that ended by themselves
        self.file = world.folder / f"{name}.settings"
        self.log = world.folder / f"{name}.log"

    def fields(self):
        world = self.world
        front = self.role["serves"] == ["front"]
        listen = ({"front": self.front, "health_addr": self.health} if front
                  else {"control": self.control})
        return {
            "node_name": self.name, "ip": self.ip, "zone": self.zone,
            "listen": listen, "seeds": [each.control for each in world.control[:3]],
            "internal_port_range": [world.ports["internal"],
                                    world.ports["internal"] + 15],
            "bootstrap": True, "fault_tolerance": {"machines": 1},
            "data_dir": None if front else str(world.folder / f"data-{self.name}"),
            "bounds": {"grace_s": 6},
            "cloud_api": {"address": world.platform},
        }

    def start(self):
        template = (ROOT / self.role["template"]).read_text()
        self.file.write_text(fill(template, self.fields()))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["WIGEONLB_NODE_FILE"] = str(self.file)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.role["run"].split(), cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        Host.started.append(self.process)
        self.world.record(f"{self.name} starts")

    def resident_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found[1]) / 1024 if found else 0.0

    def cpu_s(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        except OSError:
            return 0.0
        words = text.rsplit(")", 1)[1].split()
        return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def ready(self):
        answer = await http("GET", self.health, "/ready")
        return answer is not None and answer[0] == 200


def fill(template, fields):
    """Fills the values of a settings template, as DEPLOY.md says."""

    def value(match):
        node = fields
        for key in match[1].split("."):
            if node is None:
                return ""
            node = node[int(key)] if isinstance(node, list) else node.get(key)
        if node is None:
            return ""
        if isinstance(node, list):
            return ",".join(str(each) for each in node)
        return str(node).lower() if isinstance(node, bool) else str(node)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


class World:
    """A small deployment: control and entry hosts, one service of three servers."""

    ZONES = ("casa-ain", "rabat-sal", "kenitra")
    folders = []  # of this run

    def __init__(self, record, entries=3, sync_replicas=0):
        self.record = record
        self.sync_replicas = sync_replicas
        self.fence = 0
        self.promotions = []  # servers, in the order of their promotions
        self.promoting = set()  # servers that are about to lead
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="wigeonlb-review-"))
        World.folders.append(self.folder)
        block = random.randrange(1, 250)
        ips = [f"127.{block}.{zone}.{number}" for zone in (1, 2, 3)
               for number in (1, 2, 3, 4)] + [f"127.{block}.9.1"]
        ports = Ports(ips)
        self.ports = {name: ports.take() for name in
                      ("front", "health_addr", "control", "server", "platform")}
        self.ports["internal"] = ports.take()
        self.platform = f"{ips[-1]}:{self.ports['platform']}"
        self.service = "huvo11a"
        self.term = 3
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        roles = {tuple(role["serves"]): role for role in deploy["roles"].values()}
        self.control = [
            Host(self, roles[("control",)], f"core-{zone}-1",
                 f"127.{block}.{index + 1}.1", zone)
            for index, zone in enumerate(self.ZONES)]
        self.entries = [
            Host(self, roles[("front",)], f"front-{zone}-1",
                 f"127.{block}.{index + 1}.2", zone)
            for index, zone in enumerate(self.ZONES)][:entries]
        self.hosts = self.control + self.entries
        self.servers = [
            Server(self, f"i-{index}f3a91c2", zone, f"127.{block}.{index + 1}.3",
                   self.ports["server"], "replica" if index else "primary")
            for index, zone in enumerate(self.ZONES)]
        self.tasks, self.listeners = [], []
        self.version = 0

    @property
    def log(self):
        return self.primary().log

    def primary(self):
        return next(each for each in self.servers if each.role == "primary")

    async def commit(self, server, statements):
        """The next commit. With sync_replicas it waits until one has received it."""
        server.log.append(statements)
        number = len(server.log)
        received = asyncio.Event()
        for replica in self.servers:
            if replica is not server and replica.running and not replica.deaf:
                asyncio.create_task(self.replicate(server, replica, received))
        if self.sync_replicas:
            await received.wait()
        self.record(f"{server.id} commits {server.term}.{number}")

    async def replicate(self, server, replica, received):
        await asyncio.sleep(0.002)
        if replica.deaf or not replica.running or not server.running:
            return
        replica.log = list(server.log)
        if replica.counts:
            received.set()

    async def promote(self, reader, writer):
        """The platform's POST /promote. The server leads 600 ms after the call."""
        request = await reader.read(65536)
        head, _, body = request.partition(b"\r\n\r\n")
        fence = int(re.search(rb"x-fencing-token: *(\d+)", head, re.I)[1])
        holder = re.search(rb"x-lease-holder: *(\S+)", head, re.I)[1].decode()
        target = json.loads(body)["id"]
        server = next((each for each in self.servers if each.id == target), None)
        accepted = (server is not None and server.running and fence >= self.fence)
        self.fence = max(self.fence, fence)
        self.record(f"platform: {holder} with token {fence} promotes {target}:"
                    f" {200 if accepted else 409}")
        writer.write(b"HTTP/1.1 %s\r\nContent-Length: 2\r\nConnection: close"
                     b"\r\n\r\n{}" % (b"200 OK" if accepted else b"409 Conflict"))
        writer.close()
        if accepted and server.role != "primary" and server not in self.promoting:
            self.promotions.append(server)
            self.promoting.add(server)
            await asyncio.sleep(0.6)
            self.promoting.remove(server)
            self.primary().role = "replica"
            self.term += 1
            server.role = "primary"
            for each in self.servers:
                if each.running:
                    each.term, each.log = self.term, list(server.log)
            self.record(f"{target} leads term {self.term} with"
                        f" {len(server.log)} commits")

    async def start(self, routes):
        for server in self.servers:
            await server.listen()
        ip, port = self.platform.rsplit(":", 1)
        self.listeners.append(await asyncio.start_server(
            self.promote, ip, int(port)))
        for host in self.hosts:
            host.start()
        for server in self.servers:
            self.tasks.append(asyncio.create_task(server.announce()))
        await self.configure(routes)
        for host in self.entries:
            await until(host.ready, 30, f"{host.name} is ready")

    async def configure(self, routes):
        self.version += 1
        document = {
            "version": self.version, "routes": routes,
            "services": [{"name": self.service, "health_path": "/health",
                          "max_conns": MAX_CONNS, "protocol": "h1", "tls": False,
                          "sync_replicas": self.sync_replicas}],
            "limits": LIMITS}
        deadline = time.monotonic() + 30
        turn = 0
        while time.monotonic() < deadline:
            host = self.control[turn % len(self.control)]
            answer = await http("PUT", host.control, "/config", document, timeout=3)
            self.record(f"operator: PUT /config version {self.version} at"
                        f" {host.name}: {answer and answer[0]}")
            if answer is not None and answer[0] == 200:
                return
            turn += 1
            await asyncio.sleep(0.3)
        raise CannotRun("the configuration is not accepted")

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            host.kill()
        for server in self.servers:
            server.listener.close()
        for listener in self.listeners:
            listener.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be played: neither held nor broken."""


async def until(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise CannotRun(f"not within {seconds} s: {what}")


class Client:
    """A client's session."""

    def __init__(self, world, host, name):
        self.world, self.host, self.name = world, host, name
        self.number = 0

    async def open(self, database, user="u3f1", timeout=2.0, limit=1 << 22):
        """A client closes its session if READY takes more than 2 s."""
        ip, port = self.host.front.rsplit(":", 1)

        async def connect():
            self.reader, self.writer = await asyncio.open_connection(
                ip, int(port), limit=limit)
            self.writer.write(f"STARTUP {database} {user}\r\n".encode())
            return await self.reader.readuntil(b"\r\n")

        line = await asyncio.wait_for(connect(), timeout)
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode("latin-1"))
        return self

    async def query(self, text, timeout=10.0, quiet=False):
        """Returns (rows, COMPLETE or ERROR line, state)."""
        self.number += 1
        query_id = f"{random.getrandbits(64):016x}"
        data = text if isinstance(text, bytes) else text.encode("latin-1")
        self.writer.write(b"QUERY " + query_id.encode() + b" " + data + b"\r\n")
        if not quiet:
            self.world.record(f"{self.name} at {self.host.name} sends"
                              f" {query_id} {show(data)}")
        rows, end = [], ""
        deadline = time.monotonic() + timeout
        while True:
            line = await asyncio.wait_for(
                self.reader.readuntil(b"\r\n"), deadline - time.monotonic())
            word, _, rest = line[:-2].decode("latin-1").partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word in ("COMPLETE", "ERROR"):
                end = f"{word} {rest}"
            elif word == "READY":
                if not quiet:
                    self.world.record(f"{self.name} gets {rows} {show(end)}"
                                      f" READY {rest}")
                return rows, end, rest.split(" ")[0]

    def close(self):
        self.writer.close()


def route(name, database, kind, timeout_ms, **more):
    return {"name": name, "database": database, "path_prefix": "/",
            "route_type": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": 200, "priority": 1, "service": "huvo11a",
            "max_attempts": 2, **more}


ROUTES = [
    route("r-ctnfzs9", "lepu270", "primary", 800),
    route("r-k7b2ex5", "fiti832", "read_your_writes", 800, max_staleness_ms=2500),
    route("r-qasnmgk", "xapu221", "bounded_staleness", 1200, max_staleness_ms=1500),
]


async def served(world, host, database="lepu270"):
    """Waits until a write succeeds through the host."""

    async def write():
        try:
            client = await Client(world, host, "probe").open(database)
            _, end, _ = await client.query("WRITE 1a4 xkqpwnzd", 2.0, quiet=True)
            client.close()
            return end.startswith("COMPLETE 7.")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    await until(write, 30, f"a write is served through {host.name}")


def end_all():
    """Ends every process that was started and removes the temporary folders."""
    for process in Host.started:
        if process.poll() is None:
            process.kill()
            process.wait()
    for folder in World.folders:
        shutil.rmtree(folder, ignore_errors=True)


def play(case, record_path, entries=3, sync_replicas=0):
    """Runs a case; returns the exit code: 1 broken, 0 held, 2 not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_path)
    record("with the disruption" if trouble else "without the disruption")

    async def run():
        world = World(record, entries, sync_replicas)
        try:
            await world.start(ROUTES)
            return await case(world, trouble)
        finally:
            await world.stop()

    def end(_number, _frame):
        # Not by an exception: the event loop might wait for its tasks.
        record("ended from outside")
        end_all()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, end)
    try:
        broken = asyncio.run(run())
        code = 1 if broken else 0
        record(f"broken: {broken}" if broken else "the rule held")
    except Exception as error:  # an error of the script is no break of a rule
        record(f"could not run: {error!r}")
        code = 2
    finally:
        end_all()
    print("\n".join(record.lines[-3:]))
    return code
