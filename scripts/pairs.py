#!/usr/bin/env python3
"""Plays the same days with two checkouts and prints the mean difference in worth.

    scripts/pairs.py BENCH SITE --a DIR --b DIR --why TEXT [--days D,D] [--seeds N] [--jobs N]

BENCH is the users' bench and SITE a site file of theirs. Each day is played with each
seed in both checkouts, without charging processor time, so that what differs is the
code. Prints a row a day, and the mean of all differences (b - a) with its standard error.
"""

import argparse
import re
import statistics
import subprocess
from concurrent.futures import ThreadPoolExecutor

DAYS = "trouble-1,scale-1,trouble-2,scale-2,trouble-3"
ROW = re.compile(r"^\S+\s+\d+/\d+\s+-?[\d.]+\s+(-?[\d.]+)\s", re.M)


def play(options, checkout, day, seed):
    """The worth of one day, and whether it kept the rules."""
    command = [options.bench, "run", options.site, day, "--seed", str(seed), "--no-cpu"]
    command += ["--why", f"{options.why} ({checkout.name})"]
    run = subprocess.run(command, cwd=checkout.path, capture_output=True, text=True, check=False)
    row = ROW.search(run.stdout)
    if row is None:
        raise SystemExit(f"{day} --seed {seed} in {checkout.path}: {run.stdout}{run.stderr}")
    return float(row.group(1)), "BROKEN" not in run.stdout


class Checkout:
    """A working copy and its name in the journal."""

    def __init__(self, name, path):
        self.name = name
        self.path = path


def spread(values):
    """Standard error of the mean."""
    if len(values) < 2:
        return 0.0
    return statistics.stdev(values) / len(values) ** 0.5


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--a", required=True)
    parser.add_argument("--b", required=True)
    parser.add_argument("--why", required=True)
    parser.add_argument("--days", default=DAYS)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    both = [Checkout("a", options.a), Checkout("b", options.b)]
    pairs = [(day, seed) for day in options.days.split(",") for seed in range(1, options.seeds + 1)]
    with ThreadPoolExecutor(options.jobs) as pool:
        plays = {
            (pair, checkout.name): pool.submit(play, options, checkout, *pair)
            for pair in pairs
            for checkout in both
        }
    differences = []
    for day, seed in pairs:
        worth_a, kept_a = plays[(day, seed), "a"].result()
        worth_b, kept_b = plays[(day, seed), "b"].result()
        broken = "" if kept_a and kept_b else f" rules kept: a {kept_a}, b {kept_b}"
        differences.append(worth_b - worth_a)
        print(f"{day} --seed {seed}: {worth_a:.3f} {worth_b:.3f} {worth_b - worth_a:+.3f}{broken}")
    mean, error = statistics.mean(differences), spread(differences)
    print(f"b - a: {mean:+.4f}, standard error {error:.4f}, {len(differences)} pairs")


if __name__ == "__main__":
    main()
