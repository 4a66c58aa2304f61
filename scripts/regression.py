#!/usr/bin/env python3
"""Scores and hunts the deployments that every change has to hold, and prints a row a deployment.

    scripts/regression.py BENCH FOLDER --why TEXT [--jobs N] [--only NAME,NAME] [--no-hunts]

BENCH is the users' bench and FOLDER the one with their site files. Played in this checkout;
the full output of each run goes to --output (a folder, default: target/regression).
"""

import argparse
import pathlib
import re
import subprocess

# Site file and days to hunt: eight where a day has 60 VMs or more. The first two
# deployments of the users have given way to the large one.
SITES = [
    ("large/krs-firweir-large.toml", 8),
    ("further/rac-firweir.toml", 60),
    ("further-grown/rac-firweir-grown.toml", 8),
    ("grown/krs-firweir-grown.toml", 8),
    ("grown/jpra-ratecalc-grown.toml", 8),
]
ROW = re.compile(r"^((?:trouble|scale)-\d+)\s+\d+/\d+\s+-?[\d.]+\s+(-?[\d.]+)\s", re.M)


def play(options, name, verb, site, *flags):
    """One run of the bench; gives what it printed."""
    command = [options.bench, verb, str(site), *flags]
    command += ["--jobs", str(options.jobs), "--why", options.why]
    run = subprocess.run(command, capture_output=True, text=True, check=False)
    (options.output / f"{name}-{verb}.txt").write_text(run.stdout + run.stderr)
    return run.stdout


def row(options, site, days):
    """Mean worth over the days with trouble, the gate, and what a hunt found."""
    name = site.stem
    score = play(options, name, "score", site)
    worths = [float(worth) for _, worth in ROW.findall(score)]
    mean = f"{sum(worths) / len(worths):.3f}" if worths else "not played"
    gate = "passed" if "GATE passed" in score else "FAILED"
    hunt = "not run"
    if options.hunts:
        broken = play(options, name, "hunt", site, "--days", str(days)).count("BROKEN")
        hunt = f"{days} days, {broken} broken"
    return f"| {name} | {gate} | {mean} | {hunt} |"


def main():
    """Plays all deployments, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--why", required=True)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="")
    parser.add_argument("--no-hunts", dest="hunts", action="store_false")
    parser.add_argument("--output", type=pathlib.Path, default=pathlib.Path("target/regression"))
    options = parser.parse_args()
    options.output.mkdir(parents=True, exist_ok=True)
    wanted = [name for name in options.only.split(",") if name]
    print("| deployment | gate | mean worth | hunt |\n| --- | --- | --- | --- |")
    for file, days in SITES:
        site = options.folder / file
        if not wanted or site.stem in wanted:
            print(row(options, site, days), flush=True)


if __name__ == "__main__":
    main()
