"""Time from acceptance to in force, from the daemons' logs.

usage: in_force.py SCENARIO DIR DAEMON_INDEX...

Reads DIR/accepted.txt (revision and time of acceptance on each line) and the
lines `event=applied revision=N` of DIR/daemon-*.log. A daemon that was
replaced counts from its own start when that is later. Prints one JSON line.
"""

import datetime
import json
import re
import sys

LINE = re.compile(r"time=(\S+) .*event=applied revision=(\d+)")
STARTED = re.compile(r"time=(\S+) .*event=started")


def seconds(text):
    return datetime.datetime.fromisoformat(text).timestamp()


def read_log(path):
    """Returns the time of the start and the time of each revision."""
    started, applied = 0.0, {}
    with open(path, encoding="utf-8") as log:
        for line in log:
            if found := STARTED.search(line):
                started = seconds(found.group(1))
            if found := LINE.search(line):
                applied.setdefault(int(found.group(2)), seconds(found.group(1)))
    return started, applied


def main():
    scenario, folder, daemons = sys.argv[1], sys.argv[2], sys.argv[3:]
    logs = [read_log(f"{folder}/daemon-{index}.log") for index in daemons]
    spread, missing = [], 0
    with open(f"{folder}/accepted.txt", encoding="utf-8") as accepted:
        for line in accepted:
            revision, time = line.split()
            for started, applied in logs:
                # A later revision that came first also replaces this one.
                times = [t for r, t in applied.items() if r >= int(revision)]
                if not times:
                    missing += 1
                    continue
                since = max(float(time), started)
                spread.append(max(0.0, min(times) - since))
    spread.sort()

    def at(share):
        return round(spread[min(len(spread) - 1, int(share * len(spread)))], 3)

    print(json.dumps({
        "bench": "fleet", "scenario": scenario, "daemons": len(daemons),
        "samples": len(spread), "missing": missing, "p50_s": at(0.5),
        "p99_s": at(0.99), "max_s": round(spread[-1], 3),
    }))


main()
