"""Stand-ins for the users' platform, and a small deployment of wigeonlb-node.

Everything listens on loopback addresses: each machine has an address of its own
below 127.0.0.0/8. The stand-ins follow ../given/kit/more/system/PROTOCOL.md:
database servers that speak the lines of the wire and send heartbeats, the
platform's `POST /promote`, the operator and clients.
"""

import asyncio
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEARTBEAT_S = 1.2
BOUNDS = {
    "drain_ms": 7000,
    "grace_s": 6,
    "config_apply_ms": 3000,
    "stable_window_ms": 4000,
    "recovery_s": 12,
}
PORTS = {"front": 8784, "health": 8785, "control": 8782, "internal": 7440}
PLATFORM_PORT = 8783
SERVER_PORT = 8080


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file_ = open(path, "w", encoding="utf-8")
        self.start_ = time.monotonic()

    def write(self, text):
        self.file_.write(f"{time.monotonic() - self.start_:8.3f} {text}\n")
        self.file_.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def now_ms():
    return int(time.time() * 1000)


# ------------------------------------------------------------------ HTTP


async def read_http(reader):
    """Returns the first line, the headers and the body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        body = await reader.readexactly(length)
    return lines[0], headers, body


async def call_http(address, method, path, body=None, timeout=1.0):
    """Returns (status, body), or (None, reason) without a response in time."""
    host, port = address.split(":")
    payload = b"" if body is None else body
    if not isinstance(payload, bytes):
        payload = json.dumps(payload).encode()

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                f"Content-Type: application/json\r\n"
                f"Content-Length: {len(payload)}\r\nConnection: close\r\n\r\n".encode()
                + payload
            )
            first, _, answer = await read_http(reader)
            return int(first.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        return None, type(error).__name__.encode()


# --------------------------------------------------------------- servers


class Server:
    """One database server: the wire, `GET /health` left out, and heartbeats."""

    def __init__(self, service, name, address, zone):
        self.service_ = service
        self.name_ = name
        self.address_ = address
        self.zone_ = zone
        self.born_ = now_ms()
        self.sequence_ = 0
        self.state_ = "ready"
        self.role_ = "replica"
        self.term_ = 1
        self.log_ = []  # of (term, item, data, query)
        self.deaf_ = False  # receives nothing from the primary
        self.cutFrom_ = ()  # addresses of the machines that it is partitioned from
        self.applied_ = 0
        self.alive_ = True
        self.server_ = None
        self.writers_ = set()
        self.drainingAckedAt_ = None
        self.stop_ = asyncio.Event()
        self.beatNow_ = asyncio.Event()

    def position(self, number):
        if number == 0:
            return f"{1}.0"
        return f"{self.log_[number - 1][0]}.{number}"

    def visible(self):
        return len(self.log_) if self.role_ == "primary" else self.applied_

    def holds(self, floor):
        term, number = (int(part) for part in floor.split("."))
        seen = self.visible()
        if number == 0 or seen == 0:
            return number == 0
        return seen >= number and self.log_[seen - 1][0] >= term

    def read(self, item):
        for _, key, data, _ in reversed(self.log_[: self.visible()]):
            if key == item:
                return data
        return "none"

    async def start(self):
        host, port = self.address_.split(":")
        self.server_ = await asyncio.start_server(self.serve, host, int(port))

    async def stop(self):
        self.alive_ = False
        self.stop_.set()
        if self.server_:
            self.server_.close()
        for writer in list(self.writers_):
            writer.close()

    async def serve(self, reader, writer):
        self.writers_.add(writer)
        try:
            await self.session(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers_.discard(writer)
            writer.close()

    async def session(self, reader, writer):
        line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        words = line.split(" ")
        wanted = words[3] if len(words) > 3 and words[3] else self.name_
        if words[0] != "STARTUP" or words[1] != self.service_.name_ or (
            wanted != self.name_
        ):
            self.service_.record_.write(f"server {self.name_}: refused '{line}'")
            writer.write(f"ERROR WRONGNODE {self.name_}\r\n".encode())
            return
        if not await self.reaches(words[2]):
            return
        await asyncio.sleep(self.service_.handshakeS_)
        writer.write(f"READY I {self.position(self.visible())}\r\n".encode())
        connection = Connection(self, next(self.service_.numbers_), words[2])
        while True:
            raw = await reader.readuntil(b"\r\n")
            line = raw[:-2].decode("latin-1")
            if line.startswith("TERMINATE"):
                return
            if not await self.reaches(words[2]):
                return
            _, query, text = line.split(" ", 2)
            answer = await connection.run(query, text)
            position = self.position(self.visible())
            writer.write(
                "".join(part + "\r\n" for part in answer).encode("latin-1")
                + f"READY {connection.state_} {position}\r\n".encode()
            )
            await writer.drain()

    async def reaches(self, who):
        """False, after the time in which it is dropped, for one that is cut off."""
        if not any(f"/{address}/" in who for address in self.cutFrom_):
            return True
        await asyncio.sleep(3)
        return False

    async def beat(self, controls):
        """Sends heartbeats to one control node, the next one after a failure."""
        self.order_ = list(controls())
        at = self.service_.random_.randrange(len(self.order_))
        while not self.stop_.is_set():
            order = self.order_
            self.sequence_ += 1
            state = self.state_
            body = {
                "service": self.service_.name_,
                "address": self.address_,
                "zone": self.zone_,
                "version": "v1",
                "slots": self.service_.slots_,
                "state": state,
                "cold_remaining_ms": 0,
                "db_role": self.role_,
                "born": self.born_,
                "seq_no": self.sequence_,
            }
            for _ in range(len(order)):
                address = order[at % len(order)]
                status, _ = await call_http(
                    address, "PUT", f"/instances/{self.name_}", body
                )
                if status is not None and 200 <= status < 300:
                    if state == "draining" and self.drainingAckedAt_ is None:
                        self.drainingAckedAt_ = time.monotonic()
                        self.service_.record_.say(
                            f"{address} acknowledged that {self.name_} is draining"
                        )
                    break
                self.service_.record_.write(
                    f"heartbeat of {self.name_} at {address}: {status}"
                )
                at += 1
            self.beatNow_.clear()
            waits = [
                asyncio.ensure_future(self.beatNow_.wait()),
                asyncio.ensure_future(self.stop_.wait()),
            ]
            await asyncio.wait(
                waits, timeout=HEARTBEAT_S, return_when=asyncio.FIRST_COMPLETED
            )
            for wait in waits:
                wait.cancel()

    def set_state(self, state):
        self.state_ = state
        self.beatNow_.set()


class Connection:
    """A connection to a server: its values, its names and its transaction."""

    def __init__(self, server, number, who):
        self.server_ = server
        self.number_ = number
        self.who_ = who
        self.state_ = "I"
        self.plain_ = False
        self.writes_ = []
        self.values_ = {}
        self.prepared_ = {}

    def sign(self, query, text):
        signature = f"{self.server_.name_}.{next(self.server_.service_.numbers_):x}"
        self.server_.service_.signed_[signature] = (query, text)
        return f"COMPLETE {signature}"

    def note(self, query, text, result):
        service = self.server_.service_
        service.runs_.append((time.monotonic(), self.server_, query, text, result))
        service.record_.write(
            f"server {self.server_.name_} connection {self.number_} {query}"
            f" '{text}': {result}"
        )

    def fail(self, query, text, code):
        self.note(query, text, code)
        if self.state_ == "T":
            self.state_ = "E"
        return [f"ERROR {code} {self.server_.name_}"]

    async def run(self, query, text):
        server = self.server_
        service = server.service_
        if text == "STATUS":
            lag = len(server.log_) - server.visible()
            row = (
                f"DATAROW {server.role_} {server.term_}"
                f" {server.position(len(server.log_))} {lag} 0 0 1"
            )
            return [row, "COMPLETE -"]
        if text == "DISCARD":
            self.values_.clear()
            self.prepared_.clear()
            return ["COMPLETE -"]
        floor = re.match(r"WAITLSN (\d+\.\d+) (.*)", text)
        if floor:
            text = floor.group(2)
            if not server.holds(floor.group(1)):
                return self.fail(query, text, "LAGGING")
        word, _, rest = text.partition(" ")
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values_[name] = value
            return ["COMPLETE -"]
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self.prepared_[name] = (kind, shape)
            return ["COMPLETE -"]
        if word == "DEALLOCATE":
            self.prepared_.pop(rest, None)
            return ["COMPLETE -"]
        if self.state_ == "E" and word not in ("COMMIT", "ROLLBACK"):
            return self.fail(query, text, "MALFORMED")
        if word == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            if name not in self.prepared_:
                return self.fail(query, text, "NOSTMT")
            word, rest = self.prepared_[name][0], arguments
        if word == "BEGIN":
            if server.role_ != "primary" and rest != "READ":
                return self.fail(query, text, "READONLY")
            self.state_ = "T"
            self.plain_ = rest != "READ"
            self.writes_ = []
            self.note(query, text, "begun")
            return ["COMPLETE -"]
        if word == "ROLLBACK":
            self.state_ = "I"
            self.writes_ = []
            self.note(query, text, "rolled back")
            return ["COMPLETE -"]
        await asyncio.sleep(service.workS_)
        if word == "READ":
            data = server.read(rest)
            self.note(query, text, f"read at {server.position(server.visible())}")
            return [f"DATAROW {data}", self.sign(query, text)]
        if word == "WRITE":
            if server.role_ != "primary" or (self.state_ == "T" and not self.plain_):
                return self.fail(query, text, "READONLY")
            item, _, data = rest.partition(" ")
            if self.state_ == "T":
                self.writes_.append((query, item, data))
                self.note(query, text, "ran in the transaction")
                return [self.sign(query, text)]
            await service.commit(server, [(query, item, data)])
            self.note(query, text, f"committed {server.position(len(server.log_))}")
            return [self.sign(query, text)]
        if word == "COMMIT":
            failed = self.state_ == "E"
            writes, self.writes_, self.state_ = self.writes_, [], "I"
            if failed:
                self.note(query, text, "rolled back")
                return ["COMPLETE -"]
            if writes and server.role_ != "primary":
                return self.fail(query, text, "READONLY")
            if writes:
                await service.commit(server, writes)
            self.note(query, text, f"committed {len(writes)} writes")
            return [self.sign(query, text)]
        return self.fail(query, text, "MALFORMED")


class Service:
    """The servers of one service and their replicated log."""

    def __init__(self, name, record, slots=3):
        self.name_ = name
        self.record_ = record
        self.slots_ = slots
        self.servers_ = []
        self.runs_ = []
        self.signed_ = {}
        self.committed_ = {}  # query -> times
        self.numbers_ = itertools.count(1)
        self.random_ = random.Random(1)
        self.handshakeS_ = 0.01
        self.workS_ = 0.004
        self.lagS_ = 0.008
        self.promoteS_ = 0.6
        self.fence_ = 0
        self.sync_ = 0
        self.promotions_ = []  # of (at, server, the ids in its log)

    def primary(self):
        return next((s for s in self.servers_ if s.role_ == "primary"), None)

    async def commit(self, server, writes):
        for query, item, data in writes:
            server.log_.append((server.term_, item, data, query))
            self.committed_[query] = self.committed_.get(query, 0) + 1
        number = len(server.log_)
        replicas = [s for s in self.servers_ if s is not server and s.alive_]
        for replica in replicas:
            asyncio.ensure_future(self.replicate(server, replica))
        while self.sync_ and server.role_ == "primary":
            if any(len(replica.log_) >= number for replica in replicas):
                return
            await asyncio.sleep(0.001)

    async def replicate(self, primary, replica):
        await asyncio.sleep(self.lagS_ / 4)
        if primary.role_ != "primary" or replica.role_ == "primary":
            return
        if replica.deaf_ or not replica.alive_ or not primary.alive_:
            return
        replica.log_ = list(primary.log_)
        replica.term_ = primary.term_
        number = len(replica.log_)
        await asyncio.sleep(self.lagS_)
        if replica.role_ == "replica":
            replica.applied_ = min(len(replica.log_), max(replica.applied_, number))

    def hear(self, replica):
        """The replica receives again, and at once what it has missed."""
        replica.deaf_ = False
        primary = self.primary()
        if primary and primary is not replica:
            asyncio.ensure_future(self.replicate(primary, replica))

    async def promote(self, name):
        await asyncio.sleep(self.promoteS_)
        chosen = next(s for s in self.servers_ if s.name_ == name)
        former = self.primary()
        if former is chosen:
            return
        newest = max(s.term_ for s in self.servers_)
        if former:
            former.role_ = "replica"
            former.beatNow_.set()
        chosen.role_, chosen.term_ = "primary", newest + 1
        chosen.applied_ = len(chosen.log_)
        self.promotions_.append(
            (time.monotonic(), chosen, {entry[3] for entry in chosen.log_})
        )
        for other in self.servers_:
            if other is not chosen:
                other.log_ = list(chosen.log_)
                other.applied_ = len(other.log_)
                other.term_ = chosen.term_
        chosen.beatNow_.set()
        self.record_.say(f"{name} leads term {chosen.term_}")


class Platform:
    """`POST /promote`, with fences."""

    def __init__(self, services, record):
        self.services_ = services
        self.record_ = record
        self.down_ = False  # calls get no response and are not executed

    async def start(self, address):
        host, port = address.split(":")
        self.server_ = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        try:
            while True:
                _, headers, body = await read_http(reader)
                if self.down_:
                    self.record_.say(f"platform, down: {body.decode()} gets no response")
                    await asyncio.sleep(30)
                    return
                status = self.handle(headers, body)
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    "Content-Length: 2\r\n\r\n{}".encode()
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def handle(self, headers, body):
        order = json.loads(body)
        fence = int(headers["x-fencing-token"])
        service = next(s for s in self.services_ if s.name_ == order["service"])
        known = [s for s in service.servers_ if s.name_ == order["id"] and s.alive_]
        status = 200
        if fence < service.fence_ or not known:
            status = 409
        else:
            service.fence_ = fence
            if known[0].role_ != "primary":
                asyncio.ensure_future(service.promote(order["id"]))
        self.record_.say(
            f"platform: promote {order['id']} by {headers['x-lease-holder']} with"
            f" token {fence}: {status}"
        )
        return status


# ------------------------------------------------------------ deployment


class Node:
    """One process of wigeonlb-node on one machine."""

    def __init__(self, deployment, name, role, ip, zone):
        self.deployment_ = deployment
        self.name_ = name
        self.role_ = role
        self.ip_ = ip
        self.zone_ = zone
        self.folder_ = os.path.join(deployment.folder_, name)
        os.makedirs(os.path.join(self.folder_, "data"))
        self.process_ = None
        self.starts_ = 0
        self.bootstrap_ = True

    def front(self):
        return f"{self.ip_}:{PORTS['front']}"

    def control(self):
        return f"{self.ip_}:{PORTS['control']}"

    def health(self):
        return f"{self.ip_}:{PORTS['health']}"

    def settings(self):
        control = self.role_ == "control"
        return {
            "ip": self.ip_,
            "zone": self.zone_,
            "listen.front": "" if control else self.front(),
            "listen.health_addr": "" if control else self.health(),
            "listen.control": self.control() if control else "",
            "internal_port_range.0": str(PORTS["internal"]),
            "internal_port_range.1": str(PORTS["internal"] + 1),
            "seeds": ",".join(n.control() for n in self.deployment_.controls_),
            "bootstrap": "true" if self.bootstrap_ else "false",
            "fault_tolerance.machines": "1",
            "data_dir": os.path.join(self.folder_, "data") if control else "",
            "bounds.grace_s": str(BOUNDS["grace_s"]),
            "cloud_api.address": self.deployment_.platformAddress_,
            "node_name": self.name_,
        }

    def start(self):
        with open(os.path.join(REPOSITORY, "deploy/node.toml.template")) as file:
            text = file.read()
        for key, value in self.settings().items():
            text = text.replace("{{" + key + "}}", value)
        path = os.path.join(self.folder_, "boot.toml")
        with open(path, "w") as file:
            file.write(text)
        log = open(os.path.join(self.folder_, "log"), "ab")
        self.process_ = subprocess.Popen(
            [os.path.join(REPOSITORY, "target/bin/wigeonlb-node")],
            cwd=REPOSITORY,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": self.folder_,
                "LANG": "C.UTF-8",
                "WIGEONLB_NODE_FILE": path,
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.starts_ += 1
        self.bootstrap_ = False
        self.deployment_.record_.write(f"{self.name_} started as {self.process_.pid}")

    def running(self):
        return self.process_ is not None and self.process_.poll() is None

    def signal(self, number):
        if self.running():
            self.process_.send_signal(number)
            self.deployment_.record_.write(f"{self.name_} got signal {number}")

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process_:
            self.process_.wait()

    def log(self):
        with open(os.path.join(self.folder_, "log"), errors="replace") as file:
            return file.read()


class Deployment:
    """Three control machines, some entry machines, and the stand-ins."""

    def __init__(self, record, entries_per_zone=1, servers=3, service="huvo11a"):
        self.record_ = record
        self.folder_ = tempfile.mkdtemp(prefix="wigeonlb-review-")
        self.net_ = self.find_net()
        self.platformAddress_ = f"{self.net_}.200:{PLATFORM_PORT}"
        self.zones_ = ["zone-a", "zone-b", "zone-c"]
        self.controls_ = []
        self.entries_ = []
        for index, zone in enumerate(self.zones_):
            self.controls_.append(
                Node(self, f"core-{zone}-1", "control", f"{self.net_}.{11 + index}", zone)
            )
        for index, zone in enumerate(self.zones_ * entries_per_zone):
            self.entries_.append(
                Node(
                    self,
                    f"front-{zone}-{index // 3 + 1}",
                    "entry",
                    f"{self.net_}.{31 + index}",
                    zone,
                )
            )
        self.nodes_ = self.controls_ + self.entries_
        self.service_ = Service(service, record)
        for index in range(servers):
            self.add_server(f"i-{index + 1}a7c{index}", 101 + index, index)
        self.service_.servers_[0].role_ = "primary"
        self.platform_ = Platform([self.service_], record)
        self.version_ = 0
        self.config_ = None
        self.databases_ = {
            "lepu270": "primary",
            "fiti832": "read_your_writes",
            "xapu221": "bounded_staleness",
        }
        self.restart_ = set()

    @staticmethod
    def find_net():
        """A block of loopback addresses on which the ports are free."""
        for _ in range(100):
            net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            try:
                for host in (11, 12, 13, 31, 101, 200):
                    for port in [*PORTS.values(), PLATFORM_PORT, SERVER_PORT]:
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        raise RuntimeError("no free loopback addresses")

    def add_server(self, name, host, zone_index):
        server = Server(
            self.service_,
            name,
            f"{self.net_}.{host}:{SERVER_PORT}",
            self.zones_[zone_index % 3],
        )
        self.service_.servers_.append(server)
        return server

    def control_addresses(self):
        return [node.control() for node in self.controls_]

    def make_config(self, version, timeout_ms=1000, databases=None):
        routes = []
        for name, kind in (databases or self.databases_).items():
            route = {
                "name": "r-" + name,
                "database": name,
                "path_prefix": "/",
                "route_type": kind,
                "timeout_ms": timeout_ms,
                "target_latency_ms": 300,
                "priority": 1,
                "service": self.service_.name_,
                "max_attempts": 2,
            }
            if kind != "primary":
                route["max_staleness_ms"] = 1500
            routes.append(route)
        return {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": self.service_.name_,
                    "health_path": "/health",
                    "max_conns": 32,
                    "protocol": "h1",
                    "tls": False,
                    "sync_replicas": self.service_.sync_,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                "tx_idle_ms": 3000,
            },
        }

    async def put_config(self, config, limit_s=10.0):
        """The operator: sends to one node after the other until it is answered."""
        end = time.monotonic() + limit_s
        addresses = self.control_addresses()
        at = random.randrange(len(addresses))
        while time.monotonic() < end:
            address = addresses[at % len(addresses)]
            at += 1
            status, body = await call_http(address, "PUT", "/config", config)
            self.record_.write(
                f"PUT /config version {config['version']} at {address}: {status}"
            )
            if status == 200:
                self.record_.say(f"version {config['version']} acknowledged by {address}")
                return True
            if status in (400, 409, 412, 413, 422):
                self.record_.say(
                    f"version {config['version']} refused by {address}: {status} {body!r}"
                )
                return False
            await asyncio.sleep(0.2)
        self.record_.say(f"version {config['version']} got no acknowledgement")
        return False

    async def start(self):
        self.record_.write(f"addresses {self.net_}.*")
        await self.platform_.start(self.platformAddress_)
        for server in self.service_.servers_:
            await server.start()
        for node in self.nodes_:
            node.start()
        await asyncio.sleep(0.3)
        self.beats_ = [
            asyncio.ensure_future(server.beat(self.control_addresses))
            for server in self.service_.servers_
        ]
        self.watch_ = asyncio.ensure_future(self.watch())
        self.version_ = 7
        if not await self.put_config(self.make_config(self.version_), 20):
            raise RuntimeError("the first configuration was not accepted")
        end = time.monotonic() + 15
        while time.monotonic() < end:
            states = [
                (await call_http(node.health(), "GET", "/ready"))[0]
                for node in self.entries_
            ]
            if all(state == 200 for state in states):
                break
            await asyncio.sleep(0.2)
        else:
            raise RuntimeError("the entry machines did not become ready")
        self.record_.say("all entry machines are ready")

    async def watch(self):
        """Starts processes that have ended again, as the platform does."""
        while True:
            for node in self.nodes_:
                if node.process_ and not node.running() and node not in self.restart_:
                    self.record_.say(
                        f"{node.name_} has ended with {node.process_.returncode}"
                    )
                    self.restart_.add(node)
                    asyncio.ensure_future(self.start_again(node))
            await asyncio.sleep(0.05)

    async def start_again(self, node):
        await asyncio.sleep(0.5)
        node.start()
        self.restart_.discard(node)

    async def stop(self, keep=False):
        if hasattr(self, "watch_"):
            self.watch_.cancel()
        for node in self.nodes_:
            if node.running():
                node.process_.send_signal(signal.SIGCONT)
                node.process_.kill()
                node.process_.wait()
        for server in self.service_.servers_:
            await server.stop()
        if not keep:
            shutil.rmtree(self.folder_, ignore_errors=True)


# --------------------------------------------------------------- clients


class Client:
    """A session at the `front` address of one entry machine."""

    numbers_ = itertools.count(1)

    def __init__(self, deployment, node, database):
        self.deployment_ = deployment
        self.node_ = node
        self.database_ = database
        self.reader_ = None
        self.writer_ = None
        self.state_ = "-"

    async def open(self, timeout=2.0):
        host, port = self.node_.front().split(":")
        self.reader_, self.writer_ = await asyncio.open_connection(host, int(port))
        self.writer_.write(f"STARTUP {self.database_} u1\r\n".encode())
        line = await asyncio.wait_for(self.line(), timeout)
        if not line.startswith("READY"):
            raise ConnectionError(line)
        self.state_ = "I"

    async def line(self):
        return (await self.reader_.readuntil(b"\r\n"))[:-2].decode("latin-1")

    async def query(self, text, timeout=3.0, identifier=None):
        """Returns (id, word, fields): COMPLETE, ERROR, or LOST."""
        query = identifier or f"{next(Client.numbers_):012x}{random.randrange(65536):04x}"
        record = self.deployment_.record_
        record.write(f"client to {self.node_.name_} {query} '{text}'")
        rows = []

        async def run():
            raw = f"QUERY {query} {text}\r\n"
            self.writer_.write(raw.encode("latin-1"))
            result = ("LOST", "")
            while True:
                line = await self.line()
                word, _, rest = line.partition(" ")
                if word == "READY":
                    self.state_ = rest[:1]
                    return result
                if word == "DATAROW":
                    rows.append(rest)
                else:
                    result = (word, rest)

        try:
            word, rest = await asyncio.wait_for(run(), timeout)
        except asyncio.TimeoutError:
            word, rest = "LOST", "no answer in time"
        except (OSError, asyncio.IncompleteReadError) as error:
            word, rest = "LOST", type(error).__name__
        record.write(f"client got {query}: {word} {rest}")
        self.rows_ = rows
        return query, word, rest

    def close(self):
        if self.writer_:
            self.writer_.close()


class Load:
    """One request each 100 ms, in turn at each entry machine and database."""

    def __init__(self, deployment, interval_s=0.1):
        self.deployment_ = deployment
        self.intervalS_ = interval_s
        self.results_ = []  # of (sent at, served)

    async def one(self, number):
        node = self.deployment_.entries_[number % len(self.deployment_.entries_)]
        databases = list(self.deployment_.databases_)
        database = databases[number // len(self.deployment_.entries_) % len(databases)]
        client = Client(self.deployment_, node, database)
        sent = time.monotonic()
        served = False
        try:
            await client.open()
            text = f"WRITE k{number} v{number}" if number % 5 == 0 else f"READ k{number}"
            served = (await client.query(text))[1] == "COMPLETE"
        except (OSError, ConnectionError, asyncio.TimeoutError, EOFError) as error:
            self.deployment_.record_.write(f"client at {node.name_}: {error!r}")
        finally:
            client.close()
        self.results_.append((sent, served))

    async def run(self):
        for number in itertools.count():
            asyncio.ensure_future(self.one(number))
            await asyncio.sleep(self.intervalS_)

    def share(self, since, until):
        chosen = [served for sent, served in self.results_ if since <= sent < until]
        return sum(chosen) / max(1, len(chosen)), len(chosen)


class Writer:
    """Single writes on a route, and which of them were acknowledged when."""

    def __init__(self, deployment, database="lepu270", interval_s=0.2):
        self.deployment_ = deployment
        self.database_ = database
        self.intervalS_ = interval_s
        self.acknowledged_ = []  # of (at, id)

    async def write(self, number):
        nodes = self.deployment_.entries_
        client = Client(
            self.deployment_, nodes[number % len(nodes)], self.database_
        )
        try:
            await client.open()
            query, word, _ = await client.query(f"WRITE w{number} v{number}")
            if word == "COMPLETE":
                self.acknowledged_.append((time.monotonic(), query))
        except (OSError, ConnectionError, asyncio.TimeoutError, EOFError):
            pass
        finally:
            client.close()

    async def run(self):
        for number in itertools.count():
            asyncio.ensure_future(self.write(number))
            await asyncio.sleep(self.intervalS_)

    def check_promotion(self, promotion):
        """Returns the acknowledged ids that the promoted server's log lacks."""
        record = self.deployment_.record_
        at, promoted, log = promotion
        before = [query for acked, query in self.acknowledged_ if acked < at]
        lost = [query for query in before if query not in log]
        record.say(f"{len(before)} writes had been acknowledged to their clients")
        record.say(f"{promoted.name_} was promoted with {len(log)} commits")
        for query in lost:
            record.say(f"acknowledged, but not in the log of {promoted.name_}: {query}")
        return lost


async def send_unreadable_heartbeat(deployment, node, sequence):
    """Another writer: its id is no text, but two bytes that can't be read."""
    body = {
        "service": deployment.service_.name_,
        "address": f"{deployment.net_}.150:8080",
        "zone": node.zone_,
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "cold_remaining_ms": 0,
        "db_role": "replica",
        "born": now_ms(),
        "seq_no": sequence,
    }
    status, _ = await call_http(node.control(), "PUT", "/instances/i-%FF%FE", body)
    deployment.record_.say(f"heartbeat with the id i-%FF%FE at {node.name_}: {status}")


def run_case(main, folder, prepare=None, **layout):
    """Runs a case: exit 0 when the rule held, 1 when it broke, 2 otherwise."""
    record = Record(os.path.join(folder, "record.txt"))
    deployment = None

    async def run():
        nonlocal deployment
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        deployment = Deployment(record, **layout)
        if prepare:
            prepare(deployment)
        try:
            await asyncio.wait_for(deployment.start(), 20)
            return await asyncio.wait_for(main(deployment), 95)
        finally:
            await deployment.stop(keep=bool(os.environ.get("KEEP")))

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.say(f"the case could not run: {type(error).__name__} {error}")
        code = 2
    record.say({0: "the rule held", 1: "THE RULE WAS BROKEN"}.get(code, "not run"))
    raise SystemExit(code)
