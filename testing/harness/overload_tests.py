"""Process tests of a crowd of callers that sends more than a host's memory holds.

    overload_tests.py NAME     runs one test
    overload_tests.py --list   lists the tests

Each test starts three control hosts and an entry host and sends a crowd's messages
to the entry host. Every host must stay alive and within its bounds of memory and
descriptors, and an ordinary write succeeds afterwards. No test checks a time or a
share of served requests: a caller of the crowd may be refused.
"""

import collections
import os
import pathlib
import re
import select
import socket
import struct
import sys
import threading
import time

from process_tests import DATA_CENTRES, GROUP, TARGET_FLAGS, run_named, try_write
from system import ConditionTimeout, wait_until

KIB, MIB = 1024, 1024 * 1024

# A fifth of the 300 callers that docs/design/organisations.md (part E) names.
CROWD = 60
# Within the default max-message-bytes and the limit of an HTTP body, both 1 MiB.
MESSAGE_BYTES = MIB - KIB
OVERSIZED_BYTES, OVERSIZED_SENT_BYTES = 64 * MIB, 16 * MIB
WITHHELD_BYTES = 16
PIECE_BYTES = 1400  # about one network packet

PIPELINED = 4000
PIPELINED_BYTES = 512  # of one statement, filled up by a comment
PIPELINED_ANSWER_BYTES = 1000
# Answers of about 100 bytes each; together they exceed the bound below.
PIPELINED_REFUSED = 16_000
SLOW_PIECE_BYTES = 16 * KIB
SLOW_INTERVAL_S = 0.01
LARGE_ANSWER_ROWS, LARGE_ANSWER_ROW_BYTES = 8192, 1023  # 8 MiB

# Resident memory of a process in KiB. The smallest host has 112 MB. Half of it is
# the bound here, so that the 60 MiB of one message from each caller exceed it when
# all are buffered. The bound afterwards is about twice the 19 MB of an idle host.
RESIDENT_DURING, RESIDENT_AFTER = 56 * KIB, 40 * KIB
# The smallest host has 3,080 descriptors. A crowd of 60 needs far fewer.
DESCRIPTORS_DURING = 256
DESCRIPTORS_AFTER = DESCRIPTORS_DURING - CROWD

# Waits, not bounds: for a leader on a busy machine, how long the crowd sends, how
# long it keeps its connections open after that, how long hosts may take to release
# what it left behind, and how long an ordinary request is repeated.
LEADER_S = 60.0
SENDING_S = 30.0
STALLED_S = 3.0
HELD_S = 3.0
RELEASED_S = 30.0
SERVED_S = 30.0


def resident_kib(process):
    text = pathlib.Path(f"/proc/{process.handle.pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1))


def count_descriptors(process):
    return len(os.listdir(f"/proc/{process.handle.pid}/fd"))


class Monitor(threading.Thread):
    """Samples the resident memory and the descriptors of hosts; keeps the peaks."""

    def __init__(self, hosts):
        super().__init__(daemon=True)
        self.hosts = hosts
        self.memory = collections.Counter()
        self.descriptors = collections.Counter()
        self.stopping = threading.Event()
        self.sample()
        self.start()

    def sample(self):
        for host in self.hosts:
            try:
                memory, descriptors = resident_kib(host), count_descriptors(host)
            except (OSError, AttributeError):
                continue  # The process has ended, which check() reports.
            self.memory[host] = max(self.memory[host], memory)
            self.descriptors[host] = max(self.descriptors[host], descriptors)

    def run(self):
        while not self.stopping.wait(0.01):
            self.sample()

    def stop(self):
        self.stopping.set()
        self.join()
        self.sample()


class Caller:
    """One connection of the crowd, not blocking once it is open."""

    def __init__(self, port, receive_buffer=0):
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(10)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.connect(("127.0.0.1", port))
        self.open = True
        self.sent = 0
        self.received = 0
        self.first = b""
        self.unsent = memoryview(b"")

    def start_session(self):
        fields = f"user\0demo\0database\0{GROUP}\0\0".encode()
        self.socket.sendall(struct.pack("!ii", len(fields) + 8, 196608) + fields)
        data = b""
        while not data.endswith(b"Z\0\0\0\x05I"):
            more = self.socket.recv(65536)
            assert more, f"an ordinary session was refused: {data}"
            data += more
        return self

    def send(self, limit):
        """Sends up to `limit` bytes; returns whether any were accepted."""
        try:
            count = self.socket.send(self.unsent[:limit])
        except BlockingIOError:
            return False
        except OSError:
            self.open = False
            return False
        self.unsent = self.unsent[count:]
        self.sent += count
        return True

    def receive(self, limit):
        try:
            data = self.socket.recv(limit)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self.open = self.open and bool(data)
        self.received += len(data)
        self.first = (self.first + data)[:256] if len(self.first) < 256 else self.first

    def answer(self):
        """The SQLSTATE or the HTTP status of the first answer, if there is one."""
        if match := re.match(rb"E.{4}.*?\0C(\w{5})\0", self.first, re.DOTALL):
            return match.group(1).decode()
        if match := re.match(rb"HTTP/1\.. (\d+)", self.first):
            return match.group(1).decode()
        return "answered" if self.first else "none"


def start_hosts(system):
    for number in range(4):
        data_centre = DATA_CENTRES[number % 3]
        system.add_host(f"{data_centre}-{number}", data_centre, member=number < 3)
    system.add_group(GROUP, DATA_CENTRES, TARGET_FLAGS)
    system.start()
    wait_until(system.leader, LEADER_S, "a control leader is known")
    system.create_group(GROUP)
    return list(system.hosts.values())


class Crowd:
    """The callers of one test, and the hosts whose bounds they must not break."""

    def __init__(self, system):
        self.hosts = start_hosts(system)
        self.entry = self.hosts[-1]
        self.callers = []
        self.problems = []
        self.begun = time.monotonic()
        wait_until(lambda: try_write(
            self.entry, "CREATE TABLE IF NOT EXISTS bulk (t text)"), 15,
            "a write succeeds before the crowd")
        self.monitor = None

    def note(self, text):
        print(f"{time.monotonic() - self.begun:.1f} s: {text}", flush=True)

    def violated(self, text):
        self.note(f"VIOLATION: {text}")
        self.problems.append(text)

    def watch(self):
        self.report("before", {each: resident_kib(each) for each in self.hosts},
                    {each: count_descriptors(each) for each in self.hosts})
        self.monitor = Monitor(self.hosts)

    def add_sessions(self, data, count=CROWD, receive_buffer=0):
        """Opens sessions, each with `data` to send. None of them is refused yet,
        because idle sessions of this number are ordinary."""
        added = [Caller(self.entry.caller, receive_buffer).start_session()
                 for _ in range(count)]
        return self.prepare(added, data)

    def add_requests(self, port, data, count):
        """Opens connections to an HTTP address, each with `data` to send."""
        return self.prepare([Caller(port) for _ in range(count)], data)

    def prepare(self, added, data):
        for each in added:
            each.socket.setblocking(False)
            each.unsent = memoryview(data)
        self.callers += added
        return added

    def send(self, limit=sys.maxsize):
        """Sends the callers' data by turns, `limit` bytes at a time, until all is
        sent or the host accepts no more."""
        end = time.monotonic() + SENDING_S
        progress = time.monotonic()
        while time.monotonic() < end:
            sending = [each for each in self.callers if each.open and each.unsent]
            if not sending or time.monotonic() - progress > STALLED_S:
                return
            if any([each.send(limit) for each in sending]):
                progress = time.monotonic()
            else:
                select.select([], [each.socket for each in sending], [], 0.1)

    def hold(self, reads=True):
        """Keeps the connections open for a while, with or without reading."""
        end = time.monotonic() + HELD_S
        while time.monotonic() < end:
            reading = [each for each in self.callers if reads and each.open]
            for each in reading:
                each.receive(65536)
            time.sleep(0.01)

    def leave(self):
        self.monitor.stop()
        for each in self.callers:
            each.receive(256)  # shows whether a caller that did not read has an answer
        answers = collections.Counter(each.answer() for each in self.callers)
        self.note(
            f"crowd: {len(self.callers)} connections,"
            f" {sum(each.sent for each in self.callers) // KIB} KiB sent,"
            f" {sum(each.received for each in self.callers) // KIB} KiB read,"
            f" {sum(not each.open for each in self.callers)} closed by the host,"
            f" first answers {dict(answers)}")
        for each in self.callers:
            each.socket.close()

    def report(self, when, memory, descriptors):
        text = ", ".join(
            f"{'attacked ' if each is self.entry else ''}"
            f"{'control' if each.member else 'entry'} {each.name}:"
            f" {memory[each]} KiB, {descriptors[each]} descriptors"
            for each in self.hosts if each.running())
        self.note(f"{when}: {text}")

    def exceeded(self, when, *figures):
        """The bounds that the figures exceed, one text each. `figures` are
        (unit, figure of each host, bound)."""
        return [f"{host.name} {when} the crowd: {values[host]} {unit}, bound {bound}"
                for unit, values, bound in figures
                for host in self.hosts if values[host] > bound]

    def exceeded_after(self):
        running = [each for each in self.hosts if each.running()]
        memory = collections.Counter({each: resident_kib(each) for each in running})
        descriptors = collections.Counter(
            {each: count_descriptors(each) for each in running})
        found = self.exceeded("after", ("KiB", memory, RESIDENT_AFTER),
                              ("descriptors", descriptors, DESCRIPTORS_AFTER))
        return found, memory, descriptors

    def check(self, *ordinary):
        """Closes the crowd's connections and checks every host. `ordinary` are
        (text, condition) of requests that succeed afterwards, beside a write."""
        self.leave()
        memory, descriptors = self.monitor.memory, self.monitor.descriptors
        self.report("peak", memory, descriptors)
        for text in self.exceeded(
                "during", ("KiB", memory, RESIDENT_DURING),
                ("descriptors", descriptors, DESCRIPTORS_DURING)):
            self.violated(text)
        try:
            wait_until(lambda: not self.exceeded_after()[0], RELEASED_S,
                       "memory and descriptors are released")
        except ConditionTimeout:
            pass  # What is still held is reported below.
        found, memory, descriptors = self.exceeded_after()
        self.report("after", memory, descriptors)
        for text in found:
            self.violated(text)
        write = ("an ordinary write succeeds", lambda: try_write(self.entry))
        for what, condition in (write, *ordinary):
            try:
                wait_until(condition, SERVED_S, what)
            except ConditionTimeout as error:
                self.violated(str(error))
        for host in self.hosts:
            if not host.running():
                self.violated(f"{host.name} has ended")
        assert not self.problems, "\n".join(self.problems)


def message(kind, body):
    return kind + struct.pack("!i", len(body) + 4) + body


def query(text, length=0):
    """A simple query, filled up by a comment to `length` bytes."""
    text = text.encode()
    if length:
        text += b" /*" + b"x" * (length - len(text) - 11) + b"*/"
    return message(b"Q", text + b"\0")


def legal_write():
    head, tail = "INSERT INTO bulk VALUES ('", "')"
    return query(head + "x" * (MESSAGE_BYTES - len(head + tail) - 6) + tail)


def test_memory_held_by_unfinished_messages(system):
    """Guards against buffering messages of legal size whose end never comes."""
    crowd = Crowd(system)
    crowd.watch()
    crowd.add_sessions(legal_write()[:-WITHHELD_BYTES])
    crowd.send()
    crowd.hold()
    crowd.check()


def check_single_write(crowd):
    """Checks that one caller's write of that size is served without a crowd."""
    caller = Caller(crowd.entry.caller).start_session()
    caller.socket.sendall(legal_write())
    data = caller.socket.recv(65536)
    caller.socket.close()
    assert data[:1] == b"C", f"a single legal write was refused: {data}"


def test_memory_held_by_whole_writes(system):
    """Guards against buffering every whole message that arrives at the same time,
    on the way from caller to target, and keeping the memory afterwards."""
    crowd = Crowd(system)
    check_single_write(crowd)
    crowd.watch()
    crowd.add_sessions(legal_write())
    crowd.send()
    crowd.hold()
    crowd.check()


def test_memory_held_by_writes_in_pieces(system):
    """Guards against buffering whole messages of all callers at the same time when
    they arrive in small pieces by turns."""
    crowd = Crowd(system)
    check_single_write(crowd)
    crowd.watch()
    crowd.add_sessions(legal_write())
    crowd.send(PIECE_BYTES)
    crowd.hold()
    crowd.check()


def test_memory_held_by_oversized_messages(system):
    """Guards against buffering a message whose header states a length far over the
    limit."""
    crowd = Crowd(system)
    crowd.watch()
    head = b"Q" + struct.pack("!i", OVERSIZED_BYTES)
    crowd.add_sessions(head + b"x" * OVERSIZED_SENT_BYTES)
    crowd.send()
    crowd.hold()
    crowd.check()


def test_memory_held_by_pipelined_messages(system):
    """Guards against reading ahead on a connection without a limit, and against
    buffering answers that its caller doesn't read."""
    crowd = Crowd(system)
    crowd.watch()
    text = f"SELECT repeat('x', {PIPELINED_ANSWER_BYTES})"
    crowd.add_sessions(query(text, PIPELINED_BYTES) * PIPELINED,
                       receive_buffer=4 * KIB)
    crowd.send()
    crowd.hold(reads=False)
    crowd.check()


def test_memory_held_by_unread_refusals(system):
    """Guards against buffering unread answers to messages that the host refuses
    itself, without a target: the parts of extended queries, which it doesn't support."""
    crowd = Crowd(system)
    crowd.watch()
    refused = message(b"P", b"\0SELECT 1\0\0\0") + message(b"S", b"")
    crowd.add_sessions(refused * PIPELINED_REFUSED, receive_buffer=4 * KIB)
    crowd.send()
    crowd.hold(reads=False)
    crowd.check()


def test_memory_held_by_slow_callers(system):
    """Guards against buffering for callers that send or read slowly and stop
    half-way: half of a message, or half of a large answer."""
    crowd = Crowd(system)
    crowd.watch()
    half = legal_write()[:MESSAGE_BYTES // 2]
    crowd.add_sessions(half, CROWD // 2)
    readers = crowd.add_sessions(query(
        "WITH RECURSIVE c(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM c"
        f" WHERE n < {LARGE_ANSWER_ROWS})"
        f" SELECT repeat('x', {LARGE_ANSWER_ROW_BYTES}) FROM c"),
        CROWD // 2, receive_buffer=4 * KIB)
    answer_bytes = LARGE_ANSWER_ROWS * LARGE_ANSWER_ROW_BYTES
    end = time.monotonic() + SENDING_S / 2
    while time.monotonic() < end:
        sending = [each for each in crowd.callers if each.open and each.unsent]
        reading = [each for each in readers
                   if each.open and each.received < answer_bytes // 2]
        if not sending and not reading:
            break
        for each in sending:
            each.send(SLOW_PIECE_BYTES)
        for each in reading:
            each.receive(SLOW_PIECE_BYTES)
        time.sleep(SLOW_INTERVAL_S)
    crowd.hold(reads=False)
    crowd.check()


def http_request(path, head, tail):
    body = head + "x" * (MESSAGE_BYTES - len(head + tail)) + tail
    return (f"POST {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            f"\r\n{body}").encode()


def check_http_bodies(system, withheld):
    crowd = Crowd(system)
    crowd.watch()
    announcement = http_request("/announce", '{"group":"', '"}')
    statement = http_request("/statement", "show config where key = '", "'")
    for port, data in ((crowd.entry.announce, announcement),
                       (crowd.entry.operator, statement)):
        crowd.add_requests(port, data[:len(data) - withheld], CROWD // 2)
    crowd.send()
    crowd.hold()
    crowd.check(
        ("/healthz is answered", lambda: crowd.entry.health() == 200),
        ("an operator's statement is answered",
         lambda: crowd.entry.rows("show config")))


def test_memory_held_by_unfinished_http_bodies(system):
    """Guards against buffering HTTP request bodies whose end never comes, at the
    address for announcements and at the operator's."""
    check_http_bodies(system, WITHHELD_BYTES)


def test_memory_held_by_whole_http_bodies(system):
    """Guards against buffering every whole HTTP request body that arrives at the
    same time, at both addresses."""
    check_http_bodies(system, 0)


if __name__ == "__main__":
    sys.exit(run_named(globals()))
