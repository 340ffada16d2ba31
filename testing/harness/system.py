"""Runs a small system of hosts and stand-in targets on the loopback interface.

Used by tools/demo, tools/measure and the process tests. Closing the system
stops every process that it started. Tests wait for a state with wait_until,
which polls with a timeout, instead of sleeping for a fixed time.
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
    """A condition did not hold within its timeout."""


def wait_until(condition, seconds, what):
    """Polls condition() until it is true; returns the seconds waited. Raises
    ConditionTimeout with the text `what`."""
    start = time.monotonic()
    while True:
        value = condition()
        if value:
            return time.monotonic() - start
        if time.monotonic() - start > seconds:
            raise ConditionTimeout(f"condition not met within {seconds} s: {what}")
        time.sleep(0.01)


class PortBlocks:
    """Allocates loopback ports below the ephemeral range.

    Ports come in blocks of SIZE that are locked by a file until this process
    ends, so that runs of the harness at the same time do not collide. The
    range below the ephemeral ports avoids those of outgoing connections.
    """

    FIRST, SIZE, COUNT = 10000, 200, 100

    def __init__(self):
        self.locks = []
        self.bases = []
        self.next = 0

    def reset(self):
        """Allows the ports of a closed system to be allocated again."""
        self.next = 0

    def lock_block(self):
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
        raise RuntimeError("every port block is locked by another run")

    def allocate(self, count):
        """Returns ports that are currently unused."""
        ports = []
        while len(ports) < count:
            block, offset = divmod(self.next, self.SIZE)
            if block == len(self.bases):
                self.lock_block()
            port = self.bases[block] + offset
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
    """A child process that writes to its own log file."""

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
            self.relay.register_process(self)

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
    """The TCP relay between hosts and targets (testing/relay)."""

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

    def register_process(self, process):
        self.command(f"process {process.name} {process.handle.pid}")

    def link(self, left, right, mode, delay_ms=0):
        names = [",".join(each.name for each in side) for side in (left, right)]
        if all(names):
            self.command(f"link {names[0]} {names[1]} {mode} {delay_ms}")


class Host(Process):
    """One wigeonlbd process."""

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

    def delete_data(self):
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
        """Runs an operator statement; returns (HTTP status, parsed JSON). The status
        is None if the host could not be reached."""
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
        """The rows of a `show` statement as dictionaries; none if it failed."""
        status, answer = self.statement(text)
        if status != 200:
            return []
        result = []
        for table in answer["results"]:
            result += table["rows"]
        return result


class Target(Process):
    """One stand-in target process."""

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
        """Restarts as a replica without data, with a new incarnation."""
        self.role = "replica"
        self.incarnation += 1
        self.start()

    def sql(self, text):
        """Runs SQL directly at the target; returns the lines that psql prints."""
        return run_sql(self.port, self.group, text).stdout.split("\n")[:-1]

    def set(self, name, value):
        self.sql(f"SELECT standin_set('{name}','{value}')")

    def stats(self):
        answer = run_sql(
            self.port, self.group, "SELECT * FROM standin_stats", header=True)
        lines = answer.stdout.split("\n")
        return dict(zip(lines[0].split("|"), lines[1].split("|")))


def run_sql(port, group, *statements, token="", header=False, user="demo",
            timeout=30, settings=()):
    """Runs statements in one psql session; returns the completed process."""
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
    """Context manager that owns hosts and targets in a temporary folder.

    With relayed=True, links between its processes can be cut and delayed.
    Callers and operators connect directly, not through the relay.
    """

    def __init__(self, host_flags=(), relayed=False):
        PORTS.reset()
        self.folder = tempfile.mkdtemp(prefix="wigeonlb-")
        self.relay = Relay(self.folder) if relayed else None
        self.hosts = {}
        self.targets = []
        self.loads = []  #: load clients, killed when the system is closed
        self.host_flags = list(host_flags)
        self.records_traces = False

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        # A load client left running by a failed test would write into the system
        # of the next test, which reuses the ports.
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
        ports = PORTS.allocate(4)
        self.hosts[name] = Host(self, name, data_centre, ports, member)
        return self.hosts[name]

    def add_group(self, group, data_centres, flags=()):
        """Adds one target in each data centre; the first target is the primary."""
        added = []
        for index, (data_centre, port) in enumerate(
            zip(data_centres, PORTS.allocate(len(data_centres)))
        ):
            target = Target(
                self, group, f"{'abcdefghi'[index]}", data_centre, port, list(flags)
            )
            target.role = "primary" if index == 0 else "replica"
            added.append(target)
        self.targets += added
        return added

    def route(self, port, name):
        """Returns the port through which other processes reach `port` of process
        `name`: a relay port, or `port` itself without a relay."""
        if self.relay is None:
            return port
        return self.relay.route(port, name, PORTS.allocate(1)[0])

    def select_processes(self, selection):
        """Hosts and targets that are in `selection`, by themselves or by the name
        of their data centre."""
        processes = list(self.hosts.values()) + self.targets
        return [each for each in processes
                if each in selection or each.data_centre in selection]

    def cut(self, left, right=None, mode="silent", one_way=False):
        """Cuts the links between two selections of processes.

        `right` defaults to all other processes. Mode "silent" holds data back
        without closing connections, "refused" resets connections. With one_way,
        only the direction from left to right is cut.
        """
        left = self.select_processes(left)
        right = self.select_processes(right) if right else [
            each for each in list(self.hosts.values()) + self.targets
            if each not in left]
        self.relay.link(left, right, mode)
        if not one_way:
            self.relay.link(right, left, mode)

    def heal(self, lost=False):
        """Opens every link. With `lost`, connections that were cut never recover."""
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
            wait_until(lambda: each.health() == 200, 10, f"{each.name} is healthy")

    def create_group(self, group, options=""):
        """Creates the group and waits until every host knows its primary and the
        owners hold grants."""
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
            # A host that has just started may not list all owners yet.
            row = host.rows(f"show groups where name = '{group}'")[0]
            names = row["owners"].split()
            return names and all(
                self.hosts[name].rows(f"show grants where group = '{group}'")
                for name in names
            )

        wait_until(granted, 15, f"the owners hold grants of {group}")

    def wait_served(self, group):
        """Waits until a write succeeds through every host."""
        for each in self.hosts.values():
            wait_until(
                lambda: run_sql(
                    each.caller, group, "CREATE TABLE IF NOT EXISTS served (n integer)"
                ).returncode == 0,
                15,
                f"a write to {group} succeeds through {each.name}",
            )

    def primary(self, group, host):
        """Name of the group's primary as shown by the host, or None."""
        for row in host.rows(f"show groups where name = '{group}'"):
            return row.get("primary") or None
        return None

    def leader(self, hosts=None):
        """The control leader as shown by the first running host that knows one, or
        None."""
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
