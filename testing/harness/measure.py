"""Measurements of a running system. Each prints CSV, headed by a comment with
the command.

    measure.py failover [--user patitos|benjelloun] [--fault killed|frozen|cut]
                        [--runs N]
    measure.py reads    [--user ...] [--seconds N]
                                       replica share compared with an oracle,
                                       by lag
    measure.py overload [--user ...]   goodput at 1, 2 and 5 times the capacity
    measure.py direct   [--runs N]     hosts compared with a direct connection
    measure.py slopes                  control cost by groups, hosts, sessions,
                                       statements and changes
    measure.py storms                  recovery when many hosts are lost or
                                       restarted at once
"""

import argparse
import statistics
import sys
import time

from measure_reads import measure_direct, measure_overload, measure_reads
from measure_slopes import run_slopes, run_storms
from process_tests import GROUP, Load, primary_of
from system import System
from users import USERS, header, print_row, start_user

DEFAULT_RUNS = {"failover": 20, "direct": 5, "overload": 2}


def measure_failover(options):
    header("user", "fault", "seed", "gap_ms", "acknowledged", "not_run",
           "unknown", "missing", "doubled", "stale", "not_run_present")
    gaps = []
    for seed in range(1, options.runs + 1):
        with System(relayed=options.fault == "cut") as system:
            start_user(system, options.user)
            load = Load(system, 4 if options.fault == "killed" else 7,
                        sessions=12, transaction_share=0.2, seed=seed)
            time.sleep(1)
            primary = primary_of(system)
            if options.fault == "killed":
                primary.kill()
            elif options.fault == "frozen":
                primary.freeze()
            else:
                system.cut([primary])
            figures = load.finish_unchecked()
            gaps.append(int(figures["longest_write_gap_ms"]))
            print_row(options.user, options.fault, seed, gaps[-1],
                      *(figures[name] for name in (
                          "acknowledged", "not_run", "unknown", "missing",
                          "doubled", "stale", "not_run_present")))
    print(f"# median {statistics.median(gaps)} ms, worst {max(gaps)} ms,"
          f" {len(gaps)} runs")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=["failover", "reads", "overload",
                                         "direct", "slopes", "storms"])
    parser.add_argument("--user", choices=sorted(USERS), default="patitos")
    parser.add_argument("--fault", choices=["killed", "frozen", "cut"],
                        default="killed")
    parser.add_argument("--runs", type=int)
    parser.add_argument("--seconds", type=int, default=20)
    options = parser.parse_args()
    options.runs = options.runs or DEFAULT_RUNS.get(options.what)
    {
        "failover": measure_failover,
        "reads": measure_reads,
        "overload": measure_overload,
        "direct": measure_direct,
        "slopes": run_slopes,
        "storms": run_storms,
    }[options.what](options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
