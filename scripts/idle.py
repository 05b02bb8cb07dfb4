"""Measures the processor share, the memory and the bytes written per second of a
deployment's processes, by role, while there are no requests."""

import argparse
import os
import shutil
import sys
import time

import fleet


def cpu_seconds(pid):
    """Returns the user and system time since the process started."""
    fields = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_mib(pid):
    for line in open(f"/proc/{pid}/status"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0


def bytes_written(pid):
    """Returns the bytes written to files and sockets since the process started."""
    for line in open(f"/proc/{pid}/io"):
        if line.startswith("wchar"):
            return int(line.split()[1])
    return 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="saphir-pointe", choices=sorted(fleet.DEPLOYMENTS))
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--out", default="out/idle")
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()
    shutil.rmtree(options.out, ignore_errors=True)
    deployment = fleet.Fleet(options.deployment, options.build, options.out, base_port=25000)
    try:
        deployment.start()
        deployment.wait_ready()
        time.sleep(4)
        before = {n: (cpu_seconds(p.pid), bytes_written(p.pid)) for n, p in deployment.processes.items()}
        time.sleep(options.seconds)
        active = {"placer-" + deployment.active_placer(d)["id"] for d in deployment.spec["domains"]}
        roles = {}
        for name, process in deployment.processes.items():
            role = "server"
            if name.startswith("gateway"):
                role = "gateway"
            elif name.startswith("placer"):
                role = "active placer" if name in active else "standby placer"
            elif name == "platform":
                role = "platform"
            cpu = (cpu_seconds(process.pid) - before[name][0]) / options.seconds * 100
            written_per_s = (bytes_written(process.pid) - before[name][1]) / options.seconds
            roles.setdefault(role, []).append((cpu, rss_mib(process.pid), written_per_s))
        for role, rows in sorted(roles.items()):
            cpu, rss, written_per_s = (sum(c) / len(rows) for c in zip(*rows))
            print(f"{role}: {len(rows)} processes, {cpu:.2f} % of a core, {rss:.1f} MiB, "
                  f"{written_per_s:.0f} bytes/s written")
    finally:
        deployment.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
