"""Starts a whole deployment, sends it requests, kills a backend server, a
gateway and a placer, and shows that every request got its whole answer."""

import argparse
import http.client
import shutil
import signal
import sys
import time

import fleet

ANSWER_BYTES = 200


def send(caller, path, method="GET"):
    address, port = caller.split(":")
    connection = http.client.HTTPConnection(address, int(port), timeout=15)
    try:
        connection.request(method, path, headers={"x-neighbour": "demo"})
        answer = connection.getresponse()
        body = answer.read()
        if answer.status != 200 or len(body) != ANSWER_BYTES:
            return f"{method} {path} at {caller}: {answer.status} {body[:100]}"
        return ""
    except (OSError, http.client.HTTPException) as error:
        return f"{method} {path} at {caller}: {error!r}"
    finally:
        connection.close()


def round_of_requests(deployment, label, count):
    started = time.time()
    problems = []
    callers = deployment.callers()
    services = list(deployment.shape["services"])
    for i in range(count):
        path = f"/{services[i % len(services)]}/key-{i}"
        problem = send(callers[i % len(callers)], path, "POST" if i % 7 == 0 else "GET")
        if problem:
            problems.append(problem)
    print(f"{label}: {count - len(problems)} of {count} requests got their whole answer "
          f"in {time.time() - started:.2f} s")
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
        problems += round_of_requests(deployment, "all up", options.requests)
        server = deployment.servers[0]["id"]
        deployment.kill(server)
        problems += round_of_requests(deployment, f"backend server {server} killed", options.requests)
        host = deployment.hosts[1]["id"]
        deployment.kill("gateway-" + host)
        problems += round_of_requests(deployment, f"gateway of {host} killed", options.requests)
        placer = deployment.active_placer(deployment.shape["domains"][-1])
        deployment.kill("placer-" + placer["id"], signal.SIGKILL)
        problems += round_of_requests(deployment, f"active placer on {placer['id']} killed", options.requests)
        service = next(iter(deployment.shape["services"]))
        print(f"\n$ currantbeamctl explain {service} key-0\n" + deployment.ctl("explain", service, "key-0").stdout)
        time.sleep(2.5)
        print("$ currantbeamctl settlement\n" + deployment.ctl("settlement").stdout)
    finally:
        deployment.stop()
    print("every request got its whole answer" if problems == 0 else f"{problems} requests failed")
    return 0 if problems == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
