"""Runs load scenarios against a deployment and against a baseline without
currantbeam, where each key is hashed to a fixed server with its own FIFO queue."""

import argparse
import json
import shutil
import subprocess
import sys
import time

import fleet


def run_load(deployment, scenario, targets, out, by_hash):
    command = [deployment.program("currantbeam-load"), "--scenario", scenario, "--out", str(out), "--workers", "2"]
    for target in targets:
        command += ["--target", target]
    subprocess.run(command + (["--by-hash"] if by_hash else []), check=True, stdout=subprocess.DEVNULL)
    return json.loads(out.read_text())


def busy_us_by_server(deployment):
    """Returns the time for which each server has been busy, in microseconds."""
    return {s["id"]: deployment.server_report(s)["busy_us"] for s in deployment.servers}


def imbalance(deployment, before, after, service):
    """Returns the ratio of the highest to the mean utilisation of a service's servers."""
    busy_us = [after[s["id"]] - before[s["id"]] for s in deployment.servers if s["service"] == service]
    mean = sum(busy_us) / len(busy_us)
    return max(busy_us) / mean if mean else 0


def slot_move_count(deployment):
    """Returns how many slot assignments (E201) the placers have logged."""
    count = 0
    for h in deployment.hosts:
        count += (deployment.out / f"placer-{h['id']}.log").read_text().count("E201")
    return count


def settled_total_us(deployment):
    return json.loads(deployment.ctl("--json", "settlement").stdout)["total_slot_us"]


def print_rows(name, system, result, imbalance_ratio, moves):
    for stream, row in result["streams"].items():
        print(f"| {name} | {system} | {stream} | {row['sent']} | {row['answered']} | {row['refused']} | "
              f"{row['failed'] + row['broken']} | {row['p50_ms']:.1f} | {row['p99_ms']:.1f} | "
              f"{row['short_wait_p99_ms']:.1f} | {row['max_ms']:.0f} | {imbalance_ratio:.2f} | {moves} |", flush=True)


def run_system(options, name, scenario):
    deployment = fleet.Fleet(options.deployment, options.build, f"{options.out}/{name}", base_port=24000,
                             slowness=[1.0, 1.0, 1.4, 1.0, 1.0])
    service = next(iter(deployment.spec["services"]))
    try:
        deployment.start()
        deployment.wait_ready()
        time.sleep(2)
        moves_before, before = slot_move_count(deployment), busy_us_by_server(deployment)
        targets = [f"{fleet.ADDRESS}:{h['ports']['callers']}" for h in deployment.hosts]
        result = run_load(deployment, scenario, targets, deployment.out / "result.json", False)
        time.sleep(2.5)
        after = busy_us_by_server(deployment)
        print_rows(name, "currantbeam", result, imbalance(deployment, before, after, service),
                   slot_move_count(deployment) - moves_before)
        settled_us, total_busy_us = settled_total_us(deployment), sum(after.values())
        print(f"    settlement {settled_us} us, busy time reported by the servers {total_busy_us} us, "
              f"difference {100 * abs(settled_us - total_busy_us) / max(total_busy_us, 1):.4f} %")
    finally:
        deployment.stop()


def run_baseline(options, name, scenario):
    """Sends the load for the first service directly to its servers, without a gateway."""
    deployment = fleet.Fleet(options.deployment, options.build, f"{options.out}/{name}-baseline", base_port=24000,
                             slowness=[1.0, 1.0, 1.4, 1.0, 1.0], server_args=["--ignore-tokens"])
    deployment.out.mkdir(parents=True, exist_ok=True)
    service = next(iter(deployment.spec["services"]))
    try:
        servers = [s for s in deployment.servers if s["service"] == service]
        for s in servers:
            deployment.start_process(s["id"], [
                deployment.program("currantbeam-standin-server"), "--port", str(s["port"]), "--slots",
                str(deployment.spec["slots"]), "--slowness", str(s["slowness"]), "--ignore-tokens"])
        time.sleep(1)
        for s in servers:
            deployment.post(s["port"], "/standin/behaviour", {"queue_limit": 1000000})
        deployment.servers = servers
        before = busy_us_by_server(deployment)
        targets = [f"{fleet.ADDRESS}:{s['port']}" for s in servers]
        text = open(scenario).read().split("[[stream]]")
        service_parts = [text[0]] + [part for part in text[1:] if f'path = "/{service}/"' in part]
        reduced_scenario = deployment.out / "scenario.toml"
        reduced_scenario.write_text("[[stream]]".join(service_parts))
        result = run_load(deployment, str(reduced_scenario), targets, deployment.out / "result.json", True)
        print_rows(name, "hash, FIFO", result,
                   imbalance(deployment, before, busy_us_by_server(deployment), service), 0)
    finally:
        deployment.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="saphir-pointe", choices=sorted(fleet.DEPLOYMENTS))
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--out", default="out/experiment")
    parser.add_argument("scenarios", nargs="*", default=["calm", "crest", "stragglers", "flood"])
    options = parser.parse_args()
    shutil.rmtree(options.out, ignore_errors=True)
    print("| scenario | system | stream | sent | answered | refused | failed | p50 ms | p99 ms | "
          "short work's p99 wait ms | max ms | max/mean | moves |\n" + "|---" * 13 + "|")
    for name in options.scenarios or ["calm"]:
        scenario = str(fleet.ROOT / "examples/scenarios" / f"{name}.toml")
        run_system(options, name, scenario)
        run_baseline(options, name, scenario)
    return 0


if __name__ == "__main__":
    sys.exit(main())
