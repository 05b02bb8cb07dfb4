"""A backend server in trouble answers requests with bytes that are no answer and do not end."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import deployment as d

TROUBLE_S = 20.0
REQUESTS_PER_S = 30
TIMEOUT_S = 1.2
SERVICES = {"roster": (4, True)}
ROUTES = [d.route("r-lookup", "/lookup/", "safe", "roster", TIMEOUT_S)]


async def send_traffic(deployment, until):
    requests = []
    while time.monotonic() < until:
        job = deployment.request("/lookup/x", key=random.randrange(65536), deadline_ms=2500)
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
        deployment.note("trouble", deployment.servers[0].id, "answers requests with bytes that do not end")
        await deployment.servers[0].set_fault({"endless": ["request"]})
    await traffic
    # The rule: of the requests that are unanswered at their route's timeoutS, more than half have no answer 0.5 s
    # later; eight or more of them, and over a quarter.
    late = [answer for answer in deployment.answers if answer.took > TIMEOUT_S]
    unanswered = [answer for answer in late if answer.status is None or answer.took > TIMEOUT_S + 0.5]
    is_broken = len(unanswered) >= 8 and len(unanswered) > len(late) / 2
    await asyncio.sleep(10)
    open_exchanges = {}
    for _, server, fields in deployment.server_events():
        if fields[0] == "endless":
            open_exchanges[fields[2]] = True
        if fields[0] == "endless-closed-by-caller":
            open_exchanges.pop(fields[2], None)
    return is_broken, [f"rule CONFIG {'broken' if is_broken else 'held'}: {len(late)} requests unanswered at timeoutS "
                       f"({TIMEOUT_S} s), {len(unanswered)} of them had no answer 0.5 s later",
                       f"{len(open_exchanges)} exchanges still open 10 s after the last client had left",
                       f"{len(deployment.answers)} requests, "
                       f"{sum(answer.status == 200 for answer in deployment.answers)} served"]


d.run_case(play, pathlib.Path(__file__).parent)
