#!/usr/bin/env python3
"""Prints docs/HUNTS.md: kinds of trouble by site, days played and days with a broken rule.

    extras/hunt-table.py [FIRST-ENTRY] > docs/HUNTS.md

Reads journal/; entries before FIRST-ENTRY (a file name's start, as 20261203T03) are left out.
"""
import collections
import glob
import json
import os
import sys

FIRST = sys.argv[1] if len(sys.argv) > 1 else ""
played = collections.defaultdict(lambda: collections.defaultdict(lambda: [0, 0]))
totals = collections.defaultdict(lambda: [0, 0])
for path in sorted(glob.glob("journal/2*.json")):
    if os.path.basename(path) < FIRST:
        continue
    with open(path, encoding="utf-8") as file:
        entry = json.load(file)
    site = os.path.basename(str(entry.get("site") or "")).replace(".toml", "")
    for day in entry.get("days") or []:
        is_broken = bool(day.get("rules")) or bool(day.get("fault"))
        for kind in set(day.get("troubles") or []):
            played[kind][site][0] += 1
            played[kind][site][1] += is_broken
        totals[site][0] += 1
        totals[site][1] += is_broken
sites = sorted(totals)
print("# Days played, by kind of trouble\n")
print("Made by `extras/hunt-table.py` from `journal/`: days that had the trouble, and of those the days")
print("with a broken rule or a fault. Entries from " + (FIRST or "the first") + " on.\n")
print("| kind | " + " | ".join(sites) + " |")
print("|---|" + "---|" * len(sites))
for kind in sorted(played):
    cells = [f"{played[kind][s][0]}, {played[kind][s][1]}" for s in sites]
    print(f"| `{kind}` | " + " | ".join(cells) + " |")
print("| all days | " + " | ".join(f"{totals[s][0]}, {totals[s][1]}" for s in sites) + " |")
