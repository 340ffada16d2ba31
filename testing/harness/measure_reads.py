"""Measurements of the traffic path: direct comparison, reads, overload."""

import bisect
import itertools
import pathlib
import statistics
import subprocess
import threading

from process_tests import GROUP, primary_of
from system import BIN, System
from users import (cpu_seconds, header, print_row, owners_of, print_comment,
                   print_load_average, start_user, count_wake_ups)


def run_load(address, *flags):
    """Runs a load client to its end; returns its figures by column name."""
    command = [str(BIN / "loadclient"), "--hosts", address, "--group", GROUP]
    command += [str(each) for each in flags]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    output = done.stdout.split("\n")
    for error in done.stderr.splitlines():
        print_comment(error)
    if len(output) < 2:
        raise AssertionError(f"loadclient printed no figures: {done.stderr}")
    return dict(zip(output[0].split(","), output[1].split(",")))


# ------------------------------------------------------------------- direct

DIRECT_SECONDS = 3


def measure_way(way, port, host, sessions, repeat):
    """Measures one row of the direct comparison. Returns the statements per second
    and the p50 latencies of reads and writes in microseconds."""
    cpu, wake_ups = (cpu_seconds(host), count_wake_ups(host)) if host else (0, 0)
    figures = run_load(
        f"127.0.0.1:{port}", "--sessions", sessions, "--seconds",
        DIRECT_SECONDS, "--write-share", 0.1, "--move-share", 0,
        "--transaction-share", 0, "--tolerant-share", 0, "--seed", repeat,
        "--run", f"{way[:3]}{sessions}x{repeat}",
        *([] if host else ["--direct"]))
    total = int(figures["reads"]) + int(figures["acknowledged"])
    rate = total / (int(figures["length_ms"]) / 1000)
    cost = ("", "")
    if host:
        cost = (round((cpu_seconds(host) - cpu) / total * 1e6),
                round((count_wake_ups(host) - wake_ups) / total, 2))
    print_row(way, sessions, repeat, round(rate),
              *(figures[each] for each in ("read_p50_us", "read_p99_us",
                                           "write_p50_us", "write_p99_us")),
              *cost)
    return rate, float(figures["read_p50_us"]), float(figures["write_p50_us"])


def measure_direct(options):
    """Compares an owner host and a host that forwards to an owner with a direct
    connection to the primary."""
    header("way", "sessions", "seed", "statements_per_s", "read_p50_us",
           "read_p99_us", "write_p50_us", "write_p99_us",
           "host_cpu_us_per_statement", "host_wake_ups_per_statement")
    print_load_average()
    with System() as system:
        # Without simulated delays the difference is the overhead of the host.
        start_user(system, "patitos", ("--ship-delay-ms", "0",
                                       "--apply-delay-ms", "0",
                                       "--connect-cost-ms", "0"))
        owners = owners_of(system)
        other = next(each for each in system.hosts.values()
                     if each not in owners)
        ways = {"direct": (primary_of(system).port, None),
                "owner": (owners[0].caller, owners[0]),
                "forwarding": (other.caller, other)}
        ratios = {}
        for repeat in range(1, options.runs + 1):
            for sessions in (1, 6):
                each = {way: measure_way(way, *ways[way], sessions, repeat)
                        for way in ways}
                for way in ("owner", "forwarding"):
                    ratios.setdefault((way, sessions), []).append(
                        [each[way][0] / each["direct"][0]]
                        + [each[way][n] - each["direct"][n] for n in (1, 2)])
        for (way, sessions), rows in ratios.items():
            rate, read, write = zip(*rows)
            print_comment(
                f"{way}, {sessions} sessions, relative to direct in the same run:"
                f" rate {statistics.median(rate):.2f}"
                f" ({min(rate):.2f} to {max(rate):.2f}), read p50"
                f" +{statistics.median(read):.0f} us, write p50"
                f" +{statistics.median(write):.0f} us")
    print_load_average()


# -------------------------------------------------------------------- reads

# Each user's mixes: share of writes, share of reads with a staleness bound.
MIXES = {
    "patitos": ((0.02, 0.1), (0.1, 0.1)),
    "benjelloun": ((0.05, 0.5), (0.2, 0.3)),
}
LAGS_MS = (50, 2000, 120000)
MAX_AGE_MS = 5000
PAUSE_MS = 100
SESSIONS = 400
BASELINE_SESSIONS = 4
BASELINE_SECONDS = 4
LAG_AFTER_S = 2


def metric_sum(system, name, wanted):
    total = 0
    for host in system.hosts.values():
        for row in host.rows("show metrics"):
            if row["name"] == name and wanted in row["labels"]:
                total += float(row["value"])
    return int(total)


class AppliedLog:
    """Time at which a target applied each log position."""

    def __init__(self, path):
        rows = [each.split(",") for each in path.read_text().splitlines()]
        self.times = [int(row[0]) for row in rows]
        self.offsets = [int(row[1]) for row in rows]

    def at(self, time_us):
        index = bisect.bisect_right(self.times, time_us)
        return self.offsets[index - 1] if index else 0


def set_lag(system, lag):
    for target in system.targets:
        target.set("apply_delay_ms", lag)


def applied_path(system, target):
    return pathlib.Path(system.folder) / f"applied-{target.target}.csv"


def log_applied(system):
    for each in system.targets:
        each.flags += ["--applied-log", str(applied_path(system, each))]


def oracle_share(system, read_log):
    """Share of the reads that a replica could have served on arrival: one that had
    applied the minimum position (floor) of the read and met its staleness bound."""
    primary = primary_of(system)
    written = AppliedLog(applied_path(system, primary))
    replicas = [AppliedLog(applied_path(system, each))
                for each in system.targets if each is not primary]
    reads = [[int(field) for field in each.split(",")]
             for each in read_log.read_text().splitlines()]
    served = 0
    for sent_us, floor, tolerant in reads:
        needed = floor
        if tolerant:
            needed = max(floor, written.at(sent_us - MAX_AGE_MS * 1000))
        served += any(each.at(sent_us) >= needed for each in replicas)
    return served / max(1, len(reads))


def build_mix_flags(writes, tolerant, seed, seconds):
    return ["--seconds", seconds, "--write-share", writes, "--tolerant-share",
            tolerant, "--max-age-ms", MAX_AGE_MS, "--pause-ms", PAUSE_MS,
            "--transaction-share", 0.2, "--seed", seed]


def print_read_row(options, way, lag, mix, figures, share, oracle):
    requests = int(figures["reads"]) + int(figures["writes"])
    print_row(options.user, way, lag, *mix, figures["seed"], requests,
              figures["reads"], share, oracle,
              round(share / oracle, 3) if share != "" and oracle else "",
              *(figures[each] for each in (
                  "read_p50_us", "read_p99_us", "write_p50_us", "write_p99_us",
                  "not_run", "reads_not_run", "unknown", "reads_failed",
                  "stale", "too_old", "missing", "doubled",
                  "not_run_present")))


def measure_read_baselines(options, system, lag, mix, seed):
    """Measures two baselines without the proxy: all reads at the primary, and
    reads spread round robin over the replicas without a minimum position."""
    primary = primary_of(system)
    replicas = ",".join(f"127.0.0.1:{each.port}" for each in system.targets
                        if each is not primary)
    for way, more_flags, share in (
            ("primary", (), 0.0),
            ("round robin", ("--read-hosts", replicas), 1.0)):
        figures = run_load(
            f"127.0.0.1:{primary.port}", "--direct", "--sessions",
            BASELINE_SESSIONS, "--run", f"{way[:3]}{seed}", "--move-share", 0,
            *build_mix_flags(*mix, seed, BASELINE_SECONDS), *more_flags)
        print_read_row(options, way, lag, mix, figures, share, "")


def measure_reads(options):
    """Compares the share of reads served by replicas with an oracle that knows
    every applied position."""
    header("user", "way", "apply_delay_ms", "write_share", "tolerant_share",
           "seed", "requests", "reads", "replica_share", "oracle_share",
           "of_oracle", "read_p50_us", "read_p99_us", "write_p50_us",
           "write_p99_us", "not_run", "reads_not_run", "unknown",
           "reads_failed", "stale", "too_old", "missing", "doubled",
           "not_run_present")
    print_load_average()
    name = "wigeonlb_statements_total"
    for seed, (mix, lag) in enumerate(
            itertools.product(MIXES[options.user], LAGS_MS), 1):
        with System() as system:
            start_user(system, options.user, ("--apply-delay-ms", "5"),
                       prepare=log_applied)
            # Raises the lag after the sessions have connected and hold tokens.
            threading.Timer(LAG_AFTER_S, set_lag, (system, lag)).start()
            read_log = pathlib.Path(system.folder) / "reads.csv"
            addresses = ",".join(f"127.0.0.1:{each.caller}"
                                 for each in system.hosts.values())
            figures = run_load(
                addresses, "--sessions", SESSIONS, "--move-share", 0.02,
                "--read-log", read_log,
                *build_mix_flags(*mix, seed, options.seconds))
            replica = metric_sum(system, name, "kind=replica_read outcome=done")
            primary = metric_sum(system, name, "kind=primary_read outcome=done")
            print_read_row(options, "wigeonlb", lag, mix, figures,
                      round(replica / max(1, replica + primary), 4),
                      round(oracle_share(system, read_log), 4))
            measure_read_baselines(options, system, lag, mix, seed)
    print_load_average()


# ----------------------------------------------------------------- overload

OVERLOAD_SESSIONS = 600
# Enough sessions, each sending one request after another, to keep every slot
# busy.
CAPACITY_SESSIONS = 60
OVERLOAD_SECONDS = 8
STATEMENT_COST_MS = 20
DEADLINES = "read_deadline = '500ms', write_deadline = '500ms'"


def compute_goodput(figures):
    done = (int(figures["reads"]) - int(figures["reads_not_run"])
            - int(figures["reads_failed"]) + int(figures["acknowledged"]))
    return done / (int(figures["length_ms"]) / 1000)


def measure_overload(options):
    """Measures the goodput under an offered load of 1, 2 and 5 times the
    capacity."""
    header("user", "times", "seed", "offered_per_s", "goodput_per_s",
           "of_goodput_at_1", "requests", "late", "not_run", "reads_not_run",
           "unknown", "refused_p50_us", "refused_p99_us",
           "without_retry_after", "read_p99_us", "write_p99_us", "doubled",
           "stale", "not_run_present")
    print_load_average()
    for seed in range(1, options.runs + 1):
        with System() as system:
            start_user(system, options.user,
                       ("--apply-delay-ms", "20", "--statement-cost-ms",
                        STATEMENT_COST_MS), DEADLINES)
            hosts = ",".join(f"127.0.0.1:{each.caller}"
                             for each in system.hosts.values())
            mix = ["--write-share", 0.1, "--transaction-share", 0,
                   "--move-share", 0, "--tolerant-share", 0, "--seed", seed,
                   "--seconds", OVERLOAD_SECONDS]
            capacity = compute_goodput(run_load(
                hosts, "--sessions", CAPACITY_SESSIONS, "--run", f"cap{seed}",
                *mix))
            print_comment(f"capacity {capacity:.0f} requests per second, measured with"
                          f" {CAPACITY_SESSIONS} closed-loop sessions")
            first = None
            for times in (1, 2, 5):
                figures = run_load(
                    hosts, "--sessions", OVERLOAD_SESSIONS, "--rate",
                    round(capacity * times, 1), "--run", f"t{times}x{seed}",
                    *mix)
                rate = compute_goodput(figures)
                first = first or rate
                requests = int(figures["reads"]) + int(figures["writes"])
                print_row(options.user, times, seed,
                          round(requests / (int(figures["length_ms"]) / 1000)),
                          round(rate), round(rate / first, 3), requests,
                          *(figures[each] for each in (
                              "late", "not_run", "reads_not_run", "unknown",
                              "refused_p50_us", "refused_p99_us",
                              "without_retry_after", "read_p99_us",
                              "write_p99_us", "doubled", "stale",
                              "not_run_present")))
    print_load_average()
