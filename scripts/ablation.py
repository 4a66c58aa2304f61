#!/usr/bin/env python3
"""Switches each mechanism off in turn and prints what it is worth.

    scripts/ablation.py BENCH --sites SITE,SITE --a DIR --b DIR [--seeds N] [--only NAMES]

Both directories are scratch checkouts of the same code; in the second one the template of
the settings gets `mechanisms_off`. Days are played in pairs as scripts/pairs.py plays them.
Prints a row a mechanism: for each site the mean loss of worth without it, and its standard
error.
"""

import argparse
import pathlib
import statistics
from concurrent.futures import ThreadPoolExecutor

import pairs

MECHANISMS = (
    "moves,long-first,homes,home-ping,detour,seeds,two-sets,saved-texts,paced-listing,"
    "call-affinity,outliers,paced-rewards,first-config"
)
TEMPLATE = "deploy/node.json.template"


def worths(options, checkout, site, plays):
    """The worth of each play, and how many broke a rule."""
    options = argparse.Namespace(**{**vars(options), "site": site})
    with ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(lambda play: pairs.play(options, checkout, *play), plays))
    return [worth for worth, _ in results], sum(not kept for _, kept in results)


def switch_off(directory, template, name):
    """Writes the template with one mechanism off."""
    path = pathlib.Path(directory) / TEMPLATE
    path.write_text(template.replace('"node":', f'"mechanisms_off": ["{name}"],\n  "node":', 1))


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("--sites", required=True)
    parser.add_argument("--a", required=True)
    parser.add_argument("--b", required=True)
    parser.add_argument("--days", default=pairs.DAYS)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default=MECHANISMS)
    options = parser.parse_args()
    sites = options.sites.split(",")
    plays = [(day, seed) for day in options.days.split(",") for seed in range(1, options.seeds + 1)]
    options.why = "ablation: all mechanisms"
    with_all = {site: worths(options, pairs.Checkout("a", options.a), site, plays) for site in sites}
    template = (pathlib.Path(options.a) / TEMPLATE).read_text()
    print("| without | " + " | ".join(pathlib.Path(site).stem for site in sites) + " |")
    for name in options.only.split(","):
        switch_off(options.b, template, name)
        options.why = f"ablation: without {name}"
        cells = []
        for site in sites:
            without, broken = worths(options, pairs.Checkout("b", options.b), site, plays)
            losses = [b - a for a, b in zip(with_all[site][0], without)]
            note = f", {broken} broke a rule" if broken else ""
            cells.append(f"{statistics.mean(losses):+.4f} ({pairs.spread(losses):.4f}){note}")
        print(f"| {name} | " + " | ".join(cells) + " |", flush=True)
    (pathlib.Path(options.b) / TEMPLATE).write_text(template)


if __name__ == "__main__":
    main()
