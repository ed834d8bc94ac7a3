"""CPU, memory and control bytes of daemons, and calls on the store.

usage: process_cost.py DIR SECONDS STORE_PORT PID...

Measures over SECONDS without callers' requests. Control bytes come from the
daemons' operator interface; see `yuccabeamctl status`. Prints one JSON line.
"""

import glob
import json
import os
import sys
import time
import urllib.request

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def control_bytes(folder):
    """Sum of sent and received control bytes of each daemon."""
    totals = []
    for path in sorted(glob.glob(f"{folder}/daemon-*.json")):
        with open(path, encoding="utf-8") as settings:
            address = json.load(settings)["operator_rpc"]
        call = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "status",
                           "params": {}})
        request = urllib.request.Request(
            f"http://{address}/", call.encode(),
            {"Content-Type": "application/json"})
        with urllib.request.urlopen(request, timeout=5) as reply:
            data = json.load(reply)["result"]["data"]
        totals.append((data["control_sent_bytes"],
                       data["control_received_bytes"]))
    return totals


def store_calls(port):
    url = f"http://127.0.0.1:{port}/v1/stats"
    with urllib.request.urlopen(url, timeout=5) as reply:
        stats = json.load(reply)
    return sum(value for value in stats.values() if isinstance(value, int))


def main():
    folder, wait, port = sys.argv[1], float(sys.argv[2]), sys.argv[3]
    pids = sys.argv[4:]
    bytes_before, calls_before = control_bytes(folder), store_calls(port)
    cpu_before = [cpu_seconds(pid) for pid in pids]
    time.sleep(wait)
    cpu = [(cpu_seconds(pid) - before) / wait
           for pid, before in zip(pids, cpu_before)]
    calls = store_calls(port) - calls_before
    sent = [(a[0] - b[0]) / wait
            for a, b in zip(control_bytes(folder), bytes_before)]
    memory = [resident_mb(pid) for pid in pids]
    print(json.dumps({
        "bench": "fleet", "scenario": "cost", "daemons": len(pids),
        "cpu_percent_mean": round(100 * sum(cpu) / len(cpu), 2),
        "cpu_percent_max": round(100 * max(cpu), 2),
        "resident_mb_mean": round(sum(memory) / len(memory), 1),
        "resident_mb_max": round(max(memory), 1),
        "control_sent_bytes_per_s_mean": round(sum(sent) / len(sent)),
        "control_sent_bytes_per_s_max": round(max(sent)),
        "store_calls_per_s": round(calls / wait, 2),
    }))


main()
