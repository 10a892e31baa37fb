#!/usr/bin/env python3
"""Plays the regression set on the users' bench and compares it with the recorded worths.

    FLEETBENCH=PATH SITES=FOLDER deploy/regression.py [--jobs N] [--record] [SITE...]

SITES is the folder in which the users keep their site files; SITE is a name in
deploy/regression.json, and all of them are played without one. Each standard day is played
with its own seed and without processor time, so that a run mostly repeats. One line a day
tells worth, what was recorded, the share served and the day's floor.

Exit code 1: a rule is broken, a day has a fault, a workspace or a size is served too little
(SHORT), less than the floor is served, or a worth is more than 0.03 under the recorded one.
--record writes the worths that were played.
"""
import argparse
import concurrent.futures
import glob
import json
import os
import re
import subprocess
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(HERE, "regression.json")
TOLERANCE = 0.03  # of worth; smaller changes are noise
DAY = re.compile(r'^name = "((?:quiet|trouble|scale)-\d+)".*?^goal = \{ floor = ([\d.]+)', re.M | re.S)


def site_file(name):
    """Returns the path of a site's file below SITES."""
    found = glob.glob(os.path.join(os.environ["SITES"], "*", name + ".toml"))
    if not found:
        sys.exit(f"no site file of {name} below SITES")
    return found[0]


def play(site, day):
    """Plays one day and returns its report, or None if it was not played to the end."""
    with tempfile.TemporaryDirectory() as folder:
        report = os.path.join(folder, "report.json")
        command = [os.environ["FLEETBENCH"], "run", site_file(site), day, "--no-cpu", "--report", report]
        subprocess.run(command, cwd=os.path.join(HERE, ".."), stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        try:
            with open(report) as f:
                return json.load(f)
        except (OSError, ValueError):
            return None


def problems(report, floor, recorded):
    """Returns what speaks against a played day."""
    if report is None:
        return ["not played"]
    found = [f"rule broken: {rule}" for rule in sorted(report["breaks"])]
    if report["fault"]:
        found.append(f"fault: {report['fault']}")
    found += [f"SHORT: {note}" for note in report.get("short") or []]
    if report["served"] < floor:
        found.append("under the floor")
    if recorded is not None and report["G"] < recorded - TOLERANCE:
        found.append("worth fell")
    return found


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("sites", nargs="*", metavar="SITE")
    parser.add_argument("--jobs", type=int, default=2, help="days played at once")
    parser.add_argument("--record", action="store_true", help="write the worths that were played")
    options = parser.parse_args()
    with open(RECORD) as f:
        record = json.load(f)
    unknown = set(options.sites) - set(record)
    if unknown or not os.environ.get("FLEETBENCH") or not os.environ.get("SITES"):
        parser.error(f"unknown site {sorted(unknown)}" if unknown else "FLEETBENCH and SITES are needed")
    subprocess.run([os.environ["FLEETBENCH"], "build"], cwd=os.path.join(HERE, ".."), check=True, stdout=subprocess.DEVNULL)
    days = [(site, *day) for site in options.sites or record for day in DAY.findall(open(site_file(site)).read())]
    failed = False
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        reports = pool.map(lambda d: play(d[0], d[1]), days)
        for (site, day, floor), report in zip(days, reports):
            recorded = record[site].get(day)
            found = problems(report, float(floor), recorded)
            failed = failed or bool(found)
            played = "" if report is None else f"worth {report['G']:.3f} (recorded {recorded}) served {report['served']:.3f} (floor {floor})"
            print(f"{site:22} {day:10} {played} {'; '.join(found) or 'ok'}", flush=True)
            if report is not None:
                record[site][day] = round(report["G"], 3)
    if options.record:
        with open(RECORD, "w") as f:
            json.dump(record, f, indent=1)
            f.write("\n")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
