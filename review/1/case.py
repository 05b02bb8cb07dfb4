"""A backend server in trouble answers /grant with bytes that are no answer and do not end."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import deployment as d

TROUBLE_S = 75.0
CLIENTS = 60
REQUESTS_PER_CONNECTION = 8
CLIENT_INTERVAL_S = 1.0
LOOKUPS_PER_S = 15
WORK_MS = {"roster": 190, "ledger": 250}
SERVICES = {"roster": (4, True), "ledger": (6, False)}
ROUTES = [d.route("r-lookup", "/lookup/", "safe", "roster", 1.2),
          d.route("r-booking", "/booking/", "unsafe", "ledger", 1.5)]


async def use_kept_connection(deployment, until, interval_s):
    """One client that sends a request every `interval_s`, and opens a new connection after several."""
    client = d.Client()
    await asyncio.sleep(random.uniform(0, interval_s))
    for count in range(1, 1000):
        if time.monotonic() > until:
            break
        sent_at = time.monotonic()
        await deployment.request("/booking/x", "POST", deadline_ms=3000, body_bytes=300, client=client)
        if count % REQUESTS_PER_CONNECTION == 0:
            client.close()
        await asyncio.sleep(max(0.0, sent_at + interval_s - time.monotonic()))
    client.close()


async def send_lookups(deployment, until):
    requests = []
    while time.monotonic() < until:
        requests.append(asyncio.create_task(deployment.request("/lookup/x", key=random.randrange(65536))))
        await asyncio.sleep(1 / LOOKUPS_PER_S)
    await asyncio.gather(*requests)


async def play(holder, has_trouble):
    options = {name: ["--work-ms", str(work_ms)] for name, work_ms in WORK_MS.items()}
    deployment = d.Deployment(SERVICES, ROUTES, server_options=options)
    holder.append(deployment)
    await deployment.start()
    until = time.monotonic() + 5 + TROUBLE_S
    clients = [use_kept_connection(deployment, until, CLIENT_INTERVAL_S) for _ in range(CLIENTS)]
    traffic = asyncio.gather(send_lookups(deployment, until), *clients)
    await asyncio.sleep(5)
    if has_trouble:
        deployment.note("trouble", deployment.servers[0].id, "answers /grant with bytes that do not end")
        await deployment.servers[0].set_fault({"endless": ["grant"]})
    await traffic
    # LOST: more than three requests of kept connections were passed on to a sound server, and their connection ended
    # without an answer. A process that ends by itself, also by its memory, counts as running all the while.
    lost = deployment.lost_requests(deployment.servers[1:])
    is_broken = len(lost) > 3
    ends = {machine.name: len(machine.own_ends) for machine in deployment.machines}
    peaks = {machine.name: round(machine.peak_mb) for machine in deployment.machines}
    return is_broken, [f"rule LOST {'broken' if is_broken else 'held'}: {len(lost)} requests lost",
                       f"ends of router processes by machine: {ends}",
                       f"peak memory in MB: {peaks}, allowed: {deployment.machines[0].limits['memoryMb']}",
                       f"{len(deployment.answers)} requests, "
                       f"{sum(answer.status == 200 for answer in deployment.answers)} served"]


d.run_case(play, pathlib.Path(__file__).parent)
