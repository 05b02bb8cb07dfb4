"""A backend server in trouble answers /grant with bytes that are no answer and do not end."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import deployment as d

TROUBLE_S = 75.0
REQUESTS_PER_S = 30
SERVICES = {"roster": (4, True), "ledger": (3, False)}
ROUTES = [d.route("r-lookup", "/lookup/", "safe", "roster", 1.2),
          d.route("r-booking", "/booking/", "unsafe", "ledger", 1.5)]


async def send_traffic(deployment, until):
    requests = []
    while time.monotonic() < until:
        if random.random() < 0.67:
            job = deployment.request("/lookup/x", key=random.randrange(65536))
        else:
            job = deployment.request("/booking/x", method="POST", deadline_ms=3000, body_bytes=300)
        requests.append(asyncio.create_task(job))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*requests)


async def play(holder, has_trouble):
    deployment = d.Deployment(SERVICES, ROUTES)
    holder.append(deployment)
    await deployment.start()
    traffic = asyncio.create_task(send_traffic(deployment, time.monotonic() + 5 + TROUBLE_S))
    await asyncio.sleep(5)
    if has_trouble:
        deployment.note("trouble", deployment.servers[0].id, "answers /grant with bytes that do not end")
        await deployment.servers[0].set_fault({"endless": ["grant"]})
    await traffic
    # The rule: on a tenth of the machines in use, two at least, processes end by themselves three times each.
    ends = {machine.name: len(machine.own_ends) for machine in deployment.machines}
    is_broken = sum(count >= 3 for count in ends.values()) >= 2
    served = sum(answer.status == 200 for answer in deployment.answers)
    cut = sum(answer.error.startswith("connection") for answer in deployment.answers)
    peaks = {machine.name: round(machine.peak_mb) for machine in deployment.machines}
    return is_broken, [f"rule Fault {'broken' if is_broken else 'held'}: ends of router processes by machine: {ends}",
                       f"peak memory in MB: {peaks}, allowed: {deployment.machines[0].memory_mb}",
                       f"{len(deployment.answers)} requests, {served} served, {cut} ended without an answer"]


d.run_case(play, pathlib.Path(__file__).parent)
