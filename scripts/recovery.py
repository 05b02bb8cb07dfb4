"""Measures how long the loss of a process delays requests: the longest time from a
request's planned arrival to its complete response, over repeated losses."""

import argparse
import json
import shutil
import signal
import statistics
import subprocess
import sys
import time

import fleet

CASES = ["server-kill", "server-stop", "host-kill", "host-stop", "placer-kill", "placer-stop"]


def inject_loss(deployment, case, run_index):
    """Kills or stops the processes of a case. Returns a function that starts or resumes them."""
    signal_number = signal.SIGKILL if case.endswith("kill") else signal.SIGSTOP
    if case.startswith("server"):
        names = [deployment.servers[run_index % 16]["id"]]
    elif case.startswith("placer"):
        domain = deployment.spec["domains"][run_index % 3]
        names = ["placer-" + deployment.active_placer(domain)["id"]]
    else:
        host = deployment.hosts[run_index % len(deployment.hosts)]["id"]
        names = ["gateway-" + host, "placer-" + host]
    deployment.lost_gateways = [n for n in names if n.startswith("gateway-")]
    for name in names:
        deployment.signal_process(name, signal_number)

    def restore():
        for name in names:
            if signal_number == signal.SIGKILL:
                deployment.start_process(name)
            else:
                deployment.processes[name].send_signal(signal.SIGCONT)
    return restore


def run_once(deployment, case, run_index, scenario, build, platform_down):
    # No requests are sent to the lost entry host, as a load balancer in front of the gateways would do.
    lost_host = deployment.hosts[run_index % len(deployment.hosts)]["id"] if case.startswith("host") else None
    targets = []
    for h in deployment.hosts:
        if h["id"] != lost_host:
            targets += ["--target", f"{fleet.ADDRESS}:{h['ports']['callers']}"]
    out = deployment.out / "load.json"
    if platform_down:
        deployment.platform_faults(down=True)
        time.sleep(1)
    load = subprocess.Popen([str(deployment.program("currantbeam-load")), "--scenario", scenario, "--out", str(out),
                             "--workers", "1", *targets], stdout=subprocess.DEVNULL)
    time.sleep(1)
    restore = inject_loss(deployment, case, run_index)
    load.wait(timeout=120)
    restore()
    if platform_down:
        deployment.platform_faults(down=False)
    time.sleep(2.5)
    return json.loads(out.read_text())["streams"]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--out", default="out/recovery")
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--platform-down", action="store_true")
    parser.add_argument("--scenario", default=str(fleet.ROOT / "examples/scenarios/recovery.toml"))
    parser.add_argument("cases", nargs="*", default=CASES)
    options = parser.parse_args()
    shutil.rmtree(options.out, ignore_errors=True)
    deployment = fleet.Fleet("saphir-pointe", options.build, options.out, base_port=23000)
    try:
        deployment.start()
        deployment.wait_ready()
        time.sleep(2)
        for case in options.cases or CASES:
            longest_waits_ms = []
            counts = {"sent": 0, "answered": 0, "refused": 0, "failed": 0, "broken": 0}
            for run_index in range(options.runs):
                streams = run_once(deployment, case, run_index, options.scenario, options.build, options.platform_down)
                longest_waits_ms.append(max(s["max_ms"] for s in streams.values()))
                for name in counts:
                    counts[name] += sum(s[name] for s in streams.values())
            print(f"{case}{' platform-down' if options.platform_down else ''}: {options.runs} runs, longest wait "
                  f"median {statistics.median(longest_waits_ms):.0f} ms, worst {max(longest_waits_ms):.0f} ms; "
                  f"{counts}", flush=True)
    finally:
        deployment.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
