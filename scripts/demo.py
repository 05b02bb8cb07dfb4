"""Starts a complete deployment, sends requests to it, kills a backend server, a
gateway and a placer, and checks that every request got a complete response."""

import argparse
import http.client
import shutil
import signal
import sys
import time

import fleet

ANSWER_BYTES = 200


def send(caller, path, method="GET"):
    """Returns what went wrong; empty after a complete response."""
    address, port = caller.split(":")
    connection = http.client.HTTPConnection(address, int(port), timeout=15)
    try:
        connection.request(method, path, headers={"x-neighbour": "demo"})
        response = connection.getresponse()
        body = response.read()
        if response.status != 200 or len(body) != ANSWER_BYTES:
            return f"{method} {path} at {caller}: {response.status} {body[:100]}"
        return ""
    except (OSError, http.client.HTTPException) as error:
        return f"{method} {path} at {caller}: {error!r}"
    finally:
        connection.close()


def send_requests(deployment, label, count):
    """Sends the requests one after the other. Returns how many failed."""
    started_at = time.time()
    problems = []
    callers = deployment.callers()
    services = list(deployment.spec["services"])
    for i in range(count):
        path = f"/{services[i % len(services)]}/key-{i}"
        problem = send(callers[i % len(callers)], path, "POST" if i % 7 == 0 else "GET")
        if problem:
            problems.append(problem)
    print(f"{label}: {count - len(problems)} of {count} requests got a complete response "
          f"in {time.time() - started_at:.2f} s")
    for problem in problems[:5]:
        print("  " + problem)
    return len(problems)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="saphir-pointe", choices=sorted(fleet.DEPLOYMENTS))
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--out", default="out/demo")
    parser.add_argument("--requests", type=int, default=300)
    options = parser.parse_args()
    shutil.rmtree(options.out, ignore_errors=True)
    deployment = fleet.Fleet(options.deployment, options.build, options.out)
    problems = 0
    try:
        deployment.start()
        deployment.wait_ready()
        print(f"{len(deployment.processes)} processes run {options.deployment}; logs are in {options.out}")
        problems += send_requests(deployment, "all processes running", options.requests)
        server = deployment.servers[0]["id"]
        deployment.signal_process(server)
        problems += send_requests(deployment, f"backend server {server} killed", options.requests)
        host = deployment.hosts[1]["id"]
        deployment.signal_process("gateway-" + host)
        problems += send_requests(deployment, f"gateway of {host} killed", options.requests)
        placer = deployment.active_placer(deployment.spec["domains"][-1])
        deployment.signal_process("placer-" + placer["id"], signal.SIGKILL)
        problems += send_requests(deployment, f"active placer on {placer['id']} killed", options.requests)
        service = next(iter(deployment.spec["services"]))
        print(f"\n$ currantbeamctl explain {service} key-0\n" + deployment.ctl("explain", service, "key-0").stdout)
        time.sleep(2.5)
        print("$ currantbeamctl settlement\n" + deployment.ctl("settlement").stdout)
    finally:
        deployment.stop()
    print("every request got a complete response" if problems == 0 else f"{problems} requests failed")
    return 0 if problems == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
