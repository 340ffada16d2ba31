"""Demonstration of the proxy's main functions on a small local system, with a
check after each step."""

import signal
import sys
import threading
import time

from system import System, run_sql, wait_until

GROUP = "insignias-db/1"
RESULTS = {"passed": 0, "failed": 0}


def check(what, passed, detail=""):
    RESULTS["passed" if passed else "failed"] += 1
    line = f"{'ok  ' if passed else 'FAIL'}  {what}"
    print(line + (f"  ({detail})" if detail else ""), flush=True)


def lines(answer):
    return [each for each in answer.stdout.split("\n") if each]


def check_moving_session(system):
    hosts = list(system.hosts.values())
    answer = run_sql(
        hosts[0].caller,
        GROUP,
        "CREATE TABLE badges (pupil text, badge text)",
        "INSERT INTO badges VALUES ('Ana', 'dolphin')",
        "SHOW wigeonlb.session",
    )
    token = (lines(answer) or [""])[-1]
    check(
        "a commit on host 1 is acknowledged",
        answer.returncode == 0 and len(token) > 8,
        answer.stderr.strip(),
    )
    for target in system.targets:
        target.set("apply_delay_ms", 2000)
    answer = run_sql(
        hosts[0].caller,
        GROUP,
        "INSERT INTO badges VALUES ('Ana', 'shark')",
        "SHOW wigeonlb.session",
        token=token,
    )
    token = (lines(answer) or [token])[-1]
    check("a second commit, replicas now lag 2 s", answer.returncode == 0,
          answer.stderr.strip())
    for number, host in enumerate(hosts[1:], 2):
        answer = run_sql(
            host.caller,
            GROUP,
            "SELECT badge FROM badges WHERE pupil = 'Ana' ORDER BY badge",
            token=token,
        )
        check(
            f"the session moved to host {number} by its token sees both badges",
            lines(answer) == ["dolphin", "shark"],
            answer.stderr.strip(),
        )
    for target in system.targets:
        target.set("apply_delay_ms", 5)


def check_errors(system):
    host = next(iter(system.hosts.values()))
    rows = [
        ("an unknown group", "nowhere/9", "SELECT 1", "no database group"),
        ("a syntax error", GROUP, "SELEC 1", "42601"),
        ("a feature that is not offered", GROUP, "LISTEN x", "0A000"),
    ]
    for what, group, statement, expected in rows:
        answer = run_sql(host.caller, group, statement)
        check(f"{what} gets a clear error", expected in answer.stderr,
              "" if expected in answer.stderr else answer.stderr.strip())
    check("the host still serves callers", host.running() and host.health() == 200)


def caller_statements(target):
    return int(target.stats().get("caller_statements", -1))


def check_drain(system):
    host = next(iter(system.hosts.values()))
    primary = system.primary(GROUP, host)
    replica = next(each for each in system.targets if each.target != primary)
    status, answer = host.statement(f"drain target {GROUP} {replica.target}")
    check("drain target is accepted", status == 200, "" if status == 200 else answer)

    def in_force():
        return all(
            row.get("draining") in ("yes", "true", "on", True)
            for each in system.hosts.values()
            for row in each.rows(
                f"show targets where group = '{GROUP}' and target = "
                f"'{replica.target}'"
            )
        )

    wait_until(in_force, 5, "the drain is in force on every host")
    before = caller_statements(replica)
    for each in system.hosts.values():
        for _ in range(10):
            run_sql(each.caller, GROUP, "SELECT count(*) FROM badges")
    after = caller_statements(replica)
    check("a drained target receives no new requests", before == after >= 0,
          f"{before} statements before, {after} after 30 reads")
    status, _ = host.statement(f"undrain target {GROUP} {replica.target}")
    check("undrain target is accepted", status == 200)


def check_graceful_stop(system):
    hosts = list(system.hosts.values())
    leaving = hosts[-1]
    failures, done = [], []
    stop = threading.Event()

    def worker(number):
        count = 0
        while not stop.is_set():
            count += 1
            answer = run_sql(
                leaving.caller,
                GROUP,
                f"INSERT INTO badges VALUES ('w{number}', '{count}')",
            )
            if answer.returncode == 0:
                done.append((number, count))
            elif answer.stderr.startswith("psql: error: connection to server") \
                    or "shutting down" in answer.stderr:
                # The connection was refused or closed with 57P01 while idle, so
                # no request was interrupted.
                return
            else:
                failures.append(answer.stderr.strip())

    workers = [threading.Thread(target=worker, args=(n,)) for n in range(4)]
    for each in workers:
        each.start()
    wait_until(lambda: len(done) > 20, 20, "more than 20 writes are acknowledged")
    leaving.signal(signal.SIGTERM)
    wait_until(lambda: leaving.health() in (503, None), 5, "healthz is 503")
    check("healthz turns 503 on SIGTERM", leaving.health() in (503, None))
    code = leaving.wait(30)
    stop.set()
    for each in workers:
        each.join()
    check("the host stops with exit code 0", code == 0, f"exit code {code}")
    check("no request in flight was interrupted", not failures, "; ".join(failures[:2]))
    answer = run_sql(
        hosts[0].caller, GROUP, "SELECT count(*) FROM badges WHERE pupil LIKE 'w%'"
    )
    check(
        "every acknowledged insert of the load is present exactly once",
        lines(answer) == [str(len(done))],
        f"{lines(answer)} of {len(done)}",
    )


def check_failover(system):
    hosts = [each for each in system.hosts.values() if each.running()]
    primary = system.target(GROUP, system.primary(GROUP, hosts[0]))
    primary.kill()
    start = time.monotonic()

    def write_succeeds():
        answer = run_sql(
            hosts[0].caller, GROUP, "INSERT INTO badges VALUES ('Ana', 'ray')"
        )
        return answer.returncode == 0

    wait_until(write_succeeds, 10, "a write succeeds after the primary was killed")
    check(
        "writes succeed again after the primary was killed",
        time.monotonic() - start < 5,
        f"{time.monotonic() - start:.2f} s",
    )
    answer = run_sql(
        hosts[0].caller, GROUP, "SELECT badge FROM badges WHERE pupil = 'Ana' ORDER BY badge"
    )
    check("no acknowledged badge is lost",
          [each for each in ("dolphin", "shark") if each in lines(answer)]
          == ["dolphin", "shark"], str(lines(answer)))


def check_limits(system):
    for target in system.targets:
        if target.running():
            stats = target.stats()
            check(
                f"target {target.target} never had more connections than its limit",
                stats.get("over_limit_refused") == "0",
                f"most {stats.get('max_connections_seen')}",
            )


def main():
    with System(host_flags=["--log-level", "info"]) as system:
        for data_centre in ("centro-a", "centro-b", "centro-c"):
            system.add_host(f"{data_centre}-1", data_centre)
        system.add_group(
            GROUP,
            ("centro-a", "centro-b", "centro-c"),
            ["--slots", "3", "--connections", "20", "--connect-cost-ms", "10",
             "--ship-delay-ms", "2", "--apply-delay-ms", "5"],
        )
        system.start()
        check("three hosts and three targets run", True)
        system.create_group(GROUP)
        check("a group is created and its primary known on every host", True)
        check_moving_session(system)
        check_errors(system)
        check_drain(system)
        check_graceful_stop(system)
        check_failover(system)
        check_limits(system)
    print(f"{RESULTS['passed']} passed, {RESULTS['failed']} failed")
    return 1 if RESULTS["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
