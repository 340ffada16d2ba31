"""Starts a small system of hosts and stand-in targets on loopback.

Used by tools/demo, tools/measure and the process tests. Every process that it
starts is stopped by id when the system is closed. Tests wait on conditions
with a bound, never for a fixed time.
"""

import fcntl
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = pathlib.Path(os.environ.get("WIGEONLB_BUILD", ROOT / "build")) / "bin"


class ConditionTimeout(Exception):
    """A condition did not come true within its bound."""


def wait_until(condition, seconds, what):
    """Polls until condition() is true; returns the seconds that it took."""
    start = time.monotonic()
    while True:
        value = condition()
        if value:
            return time.monotonic() - start
        if time.monotonic() - start > seconds:
            raise ConditionTimeout(f"not within {seconds} s: {what}")
        time.sleep(0.01)


class PortBlocks:
    """Blocks of ports below the ephemeral range, held until the process ends.

    Ports that the system hands out to clients, or that another run of the
    harness picked, are never taken.
    """

    FIRST, SIZE, COUNT = 10000, 200, 100

    def __init__(self):
        self.locks = []
        self.bases = []
        self.next = 0

    def rewind(self):
        """Ports of a system that was closed may be taken again."""
        self.next = 0

    def hold_block(self):
        for number in range(self.COUNT):
            path = f"{tempfile.gettempdir()}/wigeonlb-ports-{number}.lock"
            lock = open(path, "w")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            self.locks.append(lock)
            self.bases.append(self.FIRST + number * self.SIZE)
            return
        raise RuntimeError("every block of ports is in use")

    def take(self, count):
        """Ports that nothing listens on now."""
        ports = []
        while len(ports) < count:
            block, place = divmod(self.next, self.SIZE)
            if block == len(self.bases):
                self.hold_block()
            port = self.bases[block] + place
            self.next += 1
            with socket.socket() as each:
                each.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    each.bind(("127.0.0.1", port))
                except OSError:
                    continue
                ports.append(port)
        return ports


PORTS = PortBlocks()


class Process:
    """One started program with its log file."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.arguments = [str(each) for each in arguments]
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.handle = None
        self.relay = None

    def start(self):
        log = open(self.log_path, "ab")
        self.handle = subprocess.Popen(
            self.arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        if self.relay:
            self.relay.name_process(self)

    def signal(self, number):
        if self.running():
            self.handle.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.handle is not None:
            self.handle.wait()

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.signal(signal.SIGCONT)

    def running(self):
        return self.handle is not None and self.handle.poll() is None

    def wait(self, seconds):
        return self.handle.wait(timeout=seconds)

    def log(self):
        return self.log_path.read_text(errors="replace")


class Relay(Process):
    """The relay between hosts and targets (testing/relay)."""

    def __init__(self, folder):
        super().__init__("relay", [BIN / "relay"], folder)
        with open(self.log_path, "ab") as log:
            self.handle = subprocess.Popen(
                self.arguments, stdin=subprocess.PIPE, text=True,
                stdout=subprocess.PIPE, stderr=log, bufsize=1)

    def command(self, text):
        self.handle.stdin.write(text + "\n")
        answer = self.handle.stdout.readline().strip()
        if answer != "ok":
            raise RuntimeError(f"{text}: {answer}")

    def route(self, port, name, at):
        self.command(f"route {at} {port} {name}")
        return at

    def name_process(self, process):
        self.command(f"process {process.name} {process.handle.pid}")

    def link(self, left, right, mode, delay_ms=0):
        names = [",".join(each.name for each in side) for side in (left, right)]
        if all(names):
            self.command(f"link {names[0]} {names[1]} {mode} {delay_ms}")


class Host(Process):
    """One wigeonlbd."""

    def __init__(self, system, name, data_centre, ports, member):
        self.data_centre = data_centre
        self.caller, self.operator, self.announce, self.peer = ports
        self.member = member
        self.data_folder = pathlib.Path(system.folder) / f"data-{name}"
        self.trace_file = pathlib.Path(system.folder) / f"{name}.trace"
        super().__init__(name, [], system.folder)
        self.system = system
        self.relay = system.relay
        self.peer_route = system.route(self.peer, name)
        self.announce_route = system.route(self.announce, name)

    def start(self):
        members = ",".join(
            f"{each.name}=127.0.0.1:{each.peer_route}"
            for each in self.system.hosts.values()
            if each.member
        )
        self.arguments = [
            str(BIN / "wigeonlbd"),
            "--host-id", self.name,
            "--data-centre", self.data_centre,
            "--caller-address", f"127.0.0.1:{self.caller}",
            "--operator-address", f"127.0.0.1:{self.operator}",
            "--announce-address", f"127.0.0.1:{self.announce}",
            "--peer-address", f"127.0.0.1:{self.peer}",
            "--peer-announced-address", f"127.0.0.1:{self.peer_route}",
            "--control-members", members,
        ] + self.system.host_flags
        if self.member:
            self.arguments += ["--data-folder", str(self.data_folder)]
        if self.system.records_traces:
            self.arguments += ["--trace-file", str(self.trace_file)]
        super().start()

    def lose_data(self):
        shutil.rmtree(self.data_folder, ignore_errors=True)

    def health(self):
        try:
            url = f"http://127.0.0.1:{self.announce}/healthz"
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            return None

    def statement(self, text, change_id="", timeout=8):
        """Runs an operator's statement; returns (HTTP status, parsed JSON)."""
        url = f"http://127.0.0.1:{self.operator}/statement?format=json"
        if change_id:
            url += f"&change_id={change_id}"
        request = urllib.request.Request(url, data=text.encode(), method="POST")
        try:
            with urllib.request.urlopen(request, timeout=timeout) as answer:
                return answer.status, json.loads(answer.read() or b"null")
        except urllib.error.HTTPError as error:
            body = error.read().decode(errors="replace")
            try:
                return error.code, json.loads(body)
            except ValueError:
                return error.code, body
        except OSError as error:
            return None, str(error)

    def rows(self, text):
        """The rows of a `show` statement, as dictionaries."""
        status, answer = self.statement(text)
        if status != 200:
            return []
        result = []
        for table in answer["results"]:
            result += table["rows"]
        return result


class Target(Process):
    """One stand-in target."""

    def __init__(self, system, group, name, data_centre, port, flags):
        super().__init__(f"{group.replace('/', '_')}-{name}", [], system.folder)
        self.system = system
        self.group = group
        self.target = name
        self.data_centre = data_centre
        self.port = port
        self.relay = system.relay
        self.port_route = system.route(port, self.name)
        self.flags = flags
        self.role = "replica"
        self.incarnation = 1

    def start(self):
        peers = ",".join(
            f"127.0.0.1:{each.port_route}"
            for each in self.system.targets
            if each.group == self.group and each is not self
        )
        announce = ",".join(
            f"http://127.0.0.1:{each.announce_route}"
            for each in self.system.hosts.values()
        )
        self.arguments = [
            str(BIN / "standin"),
            "--group", self.group,
            "--target", self.target,
            "--listen", f"127.0.0.1:{self.port}",
            "--announced-address", f"127.0.0.1:{self.port_route}",
            "--data-centre", self.data_centre,
            "--role", self.role,
            "--peers", peers,
            "--announce", announce,
            "--incarnation", str(self.incarnation),
        ] + self.flags
        super().start()

    def restart_blank(self):
        """Starts again as a replica without data."""
        self.role = "replica"
        self.incarnation += 1
        self.start()

    def sql(self, text):
        """Runs SQL straight at the target; returns psql's lines."""
        return run_sql(self.port, self.group, text).stdout.split("\n")[:-1]

    def set(self, name, value):
        self.sql(f"SELECT standin_set('{name}','{value}')")

    def stats(self):
        answer = run_sql(
            self.port, self.group, "SELECT * FROM standin_stats", header=True
        )
        lines = answer.stdout.split("\n")
        return dict(zip(lines[0].split("|"), lines[1].split("|")))


def run_sql(port, group, *statements, token="", header=False, user="demo",
            timeout=30, settings=()):
    """Runs statements in one psql session."""
    command = ["psql", "-X", "-A", "-q", "-v", "VERBOSITY=verbose",
               "-v", "ON_ERROR_STOP=1"]
    if not header:
        command.append("-t")
    else:
        command += ["-P", "footer=off"]
    options = list(settings)
    if token:
        options.append(f"wigeonlb.session={token}")
    text = " ".join(f"-c {each}" for each in options)
    command.append(
        f"host=127.0.0.1 port={port} dbname={group} user={user}"
        f" sslmode=disable connect_timeout=5 options='{text}'"
    )
    for each in statements:
        command += ["-c", each]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=timeout, check=False
    )


class System:
    """Hosts and targets in a temporary folder; a context manager.

    With a relay, the links between its processes can be cut and delayed.
    Callers and operators are not behind the relay.
    """

    def __init__(self, host_flags=(), relayed=False):
        PORTS.rewind()
        self.folder = tempfile.mkdtemp(prefix="wigeonlb-")
        self.relay = Relay(self.folder) if relayed else None
        self.hosts = {}
        self.targets = []
        self.loads = []  #: processes that are ended with the system
        self.host_flags = list(host_flags)
        self.records_traces = False

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        # A load that a failed test left would write into the next test's system,
        # which takes the same ports.
        for each in self.loads:
            if each.poll() is None:
                each.kill()
                each.wait()
        self.close()
        if kind is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"logs are kept in {self.folder}")

    def add_host(self, name, data_centre, member=True):
        ports = PORTS.take(4)
        self.hosts[name] = Host(self, name, data_centre, ports, member)
        return self.hosts[name]

    def add_group(self, group, places, flags=()):
        """One target in each of the places; the first one is primary."""
        made = []
        for index, (place, port) in enumerate(
            zip(places, PORTS.take(len(places)))
        ):
            target = Target(
                self, group, f"{'abcdefghi'[index]}", place, port, list(flags)
            )
            target.role = "primary" if index == 0 else "replica"
            made.append(target)
        self.targets += made
        return made

    def route(self, port, name):
        """The port at which other processes reach the named one's port."""
        if self.relay is None:
            return port
        return self.relay.route(port, name, PORTS.take(1)[0])

    def processes(self, places):
        """Processes of the places: processes, or names of data centres."""
        every = list(self.hosts.values()) + self.targets
        return [each for each in every
                if each in places or each.data_centre in places]

    def cut(self, left, right=None, mode="silent", one_way=False):
        """Cuts the links between two sets of places.

        The right set is everything else unless given. Silent links hold what
        is sent, refused ones reset connections. One way: from left to right.
        """
        left = self.processes(left)
        right = self.processes(right) if right else [
            each for each in list(self.hosts.values()) + self.targets
            if each not in left]
        self.relay.link(left, right, mode)
        if not one_way:
            self.relay.link(right, left, mode)

    def heal(self, lost=False):
        """Opens every link; lost connections stay silent for good."""
        self.relay.command("heal " + ("lost" if lost else "open"))

    def target(self, group, name):
        for each in self.targets:
            if each.group == group and each.target == name:
                return each
        raise KeyError(name)

    def start(self):
        for each in self.targets:
            each.start()
        for each in self.hosts.values():
            each.start()
        for each in self.hosts.values():
            wait_until(lambda: each.health() == 200, 10, f"{each.name} serves")

    def create_group(self, group, options=""):
        """Creates the group and waits until a write is placed."""
        host = next(iter(self.hosts.values()))
        text = f"create group {group} with dialect = 'standin'"
        if options:
            text += ", " + options
        change_id = f"create-{group}-{time.monotonic_ns()}"

        def created():
            status, _ = host.statement(text, change_id)
            return status == 200

        wait_until(created, 15, f"group {group} is created")
        for each in self.hosts.values():
            wait_until(
                lambda: self.primary(group, each) is not None,
                15,
                f"{each.name} knows the primary of {group}",
            )

        def granted():
            # A host that has just started does not know all of the others.
            row = host.rows(f"show groups where name = '{group}'")[0]
            names = row["owners"].split()
            return names and all(
                self.hosts[name].rows(f"show grants where group = '{group}'")
                for name in names
            )

        wait_until(granted, 15, f"the owners hold grants of {group}")

    def wait_served(self, group):
        """Waits until a write can be placed through every host."""
        for each in self.hosts.values():
            wait_until(
                lambda: run_sql(
                    each.caller, group, "CREATE TABLE IF NOT EXISTS served (n integer)"
                ).returncode == 0,
                15,
                f"{each.name} places a write of {group}",
            )

    def primary(self, group, host):
        """Name of the group's primary as the host shows it, or None."""
        for row in host.rows(f"show groups where name = '{group}'"):
            return row.get("primary") or None
        return None

    def leader(self, hosts=None):
        """The host that a running host names as control leader, or None."""
        for host in hosts or self.hosts.values():
            if not host.running():
                continue
            for row in host.rows("show config where key = 'leader'"):
                if row["value"]:
                    return self.hosts[row["value"]]
        return None

    def close(self):
        for each in list(self.hosts.values()) + self.targets:
            if each.running():
                each.thaw()
                each.kill()
        if self.relay:
            self.relay.kill()
