#!/usr/bin/env python3
# SPDX-License-Identifier: Apache-2.0
"""Runs the test days of this folder on a site and prints a line for each.

    deploy/days/play.py BENCH SITE [--why TEXT] [--jobs N] [--logs DIR] [DAY...]

With --logs, the output of each day is written to DIR/DAY.log. `fleetbench hunt`
also runs these days, with varied times and parameters.
"""
import argparse
import concurrent.futures
import pathlib
import re
import subprocess
import sys

HERE = pathlib.Path(__file__).parent


def run_day(arguments, day):
    """Runs one day and returns the output of the bench."""
    command = [arguments.bench, "run", arguments.site, str(day), "--why", f"{arguments.why} ({day.stem})"]
    if arguments.logs:
        command += ["--log", "all"]
    completed = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, errors="replace", check=False)
    if arguments.logs:
        (pathlib.Path(arguments.logs) / (day.stem + ".log")).write_text(completed.stdout)
    return completed.stdout


def summary(name, output):
    """Returns the day's result row, or its name without one, and its status."""
    row = re.search(r"^%s .*$" % re.escape(name), output, re.M)
    broken = re.search(r"^rules broken: .*$", output, re.M)
    fault = re.search(r"^fleetbench: .*$", output, re.M)
    state = broken.group(0) if broken else "rules kept" if row else "not run: " + (fault.group(0) if fault else output[-200:])
    return row.group(0)[:78] if row else name, state


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("days", nargs="*")
    parser.add_argument("--why", default="our own days")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--logs")
    arguments = parser.parse_args()
    days = sorted(HERE.glob("*.toml"))
    if arguments.days:
        days = [d for d in days if d.stem in arguments.days]
    failed = 0
    if arguments.logs:
        pathlib.Path(arguments.logs).mkdir(parents=True, exist_ok=True)
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        for day, output in zip(days, pool.map(lambda day_file: run_day(arguments, day_file), days)):
            row, state = summary(day.stem, output)
            failed += not state.startswith("rules kept")
            print(f"{row:80} {state}", flush=True)
    print(f"{len(days)} days, {failed} with broken rules or not run")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
