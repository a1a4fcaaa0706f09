#!/usr/bin/env python3
"""Plays days with each policy of the settings switched off, one at a time.

Works on a scratch clone: `git clone . /tmp/ablate`, then

    tools/ablation.py --tree /tmp/ablate --play PROGRAM --why REASON \\
        --site SITE=trouble-1,scale-1 --seeds 1,2,3,4 [--off none,admission]

PROGRAM plays one day of a site (`PROGRAM run SITE DAY --seed N --why TEXT`)
and prints a line that begins with the day's name and has its worth in the
fourth column. Seeds are paired: each policy is compared with `none` on the
same day and seed. Prints a row for each policy: the mean worth on each site,
its difference to `none`, and the standard error of that difference.
"""

import argparse
import concurrent.futures
import math
import pathlib
import re
import subprocess

POLICIES = [
    "shared_waits",
    "binding",
    "shared_prompts",
    "hot_near",
    "place_time",
    "spare_store",
    "spare_places",
    "early_copies",
    "admission",
    "outliers",
    "near_first",
    "load_window",
    "patience",
]

# Days played at once: most of the cores of a machine, which share nothing.
AT_ONCE = 7


def parse_args():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tree", required=True, type=pathlib.Path)
    parser.add_argument("--play", required=True)
    parser.add_argument("--why", required=True)
    parser.add_argument("--site", action="append", required=True)
    parser.add_argument("--seeds", default="1,2,3,4")
    parser.add_argument("--off", default="none," + ",".join(POLICIES))
    return parser.parse_args()


def switch_off(tree, policy):
    """Writes the settings template with `policy` off."""
    path = tree / "deploy" / "settings.jsonc"
    text = re.sub(r"\n  \"policies\": \{.*?\},", "", path.read_text(), flags=re.S)
    off = "" if policy == "none" else f'"{policy}": false'
    at = text.rindex("}")
    path.write_text(text[:at] + f'  "policies": {{ {off} }},\n' + text[at:])


def play(args, site, day, seed, policy):
    """The worth of one day; None if it could not be played."""
    why = f"{args.why}; off: {policy}"
    command = [args.play, "run", site, day, "--seed", str(seed), "--jobs", "1", "--why", why]
    done = subprocess.run(command, cwd=args.tree, capture_output=True, text=True)
    found = re.search(rf"^{day}\s+\S+\s+\S+\s+(\S+)(.*)", done.stdout, re.M)
    if found is None:
        print(f"not played: {site} {day} {seed} {policy}: {done.stderr[-200:]}")
        return None
    if "BROKEN" in found[2]:
        print(f"rule broken: {site} {day} {seed} {policy}:{found[2]}")
    return float(found[1])


def main():
    args = parse_args()
    sites = [site.split("=") for site in args.site]
    plays = [
        (site, day, seed)
        for site, days in sites
        for seed in args.seeds.split(",")
        for day in days.split(",")
    ]
    base = {}
    for policy in args.off.split(","):
        switch_off(args.tree, policy)
        with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
            worths = pool.map(lambda p: play(args, *p, policy), plays)
            worth = dict(zip(plays, worths))
        base = base or worth
        row = [f"{policy:16}"]
        for site, _ in sites:
            both = [p for p in plays if p[0] == site and None not in (worth[p], base[p])]
            mean = sum(worth[p] for p in both) / len(both)
            diffs = [worth[p] - base[p] for p in both]
            diff = sum(diffs) / len(diffs)
            spread = math.sqrt(sum((d - diff) ** 2 for d in diffs) / max(1, len(diffs) - 1))
            error = spread / math.sqrt(len(diffs))
            row.append(f"{mean:.4f} {diff:+.4f} +-{error:.4f}")
        print("  ".join(row), flush=True)


if __name__ == "__main__":
    main()
