"""Runs the real router among faults injected from outside, and checks what must
hold by what callers and backend servers see. Each seed is one history; a seed
that ever failed is listed in seeds.txt with its cause, and runs again."""

import argparse
import asyncio
import collections
import pathlib
import random
import signal
import sys
import time

import checks
from callers import Caller
from deployment import RECOVER_S, GRACE_S, Deployment

CALLERS = 12
REQUESTS_PER_CALLER_S = 5
CALM_S = 3.0              # of requests that are to be served after recovery
CONTACT_S = 3.0           # after a fault, what it harmed may take this long
PLANNED_ONLY_EVERY = 4
BASE_PORT = 30000
PORTS_PER_RUN = 400


class History:
    """The faults of one seed."""

    def __init__(self, deployment, seed, log):
        self.deployment, self.log = deployment, log
        self.random = random.Random(seed)
        # Some histories hold planned work alone, which may cut off nothing.
        self.is_planned_only = seed % PLANNED_ONLY_EVERY == 0
        self.server_ends = {}     # when a life of a server was killed, in us
        self.unplanned = []       # (from, until) of faults other than planned work
        self.stops = []           # (router, from, until)
        self.overdue = []         # routers that had to be killed after their grace

    def note(self, what):
        self.log.write(f"{time.monotonic():.3f} {what}\n")
        self.log.flush()

    async def run(self, until):
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self.fault()))
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
        await asyncio.gather(*tasks)

    async def fault(self):
        planned = [self.router_stop, self.server_drain, self.config_change]
        kinds = planned if self.is_planned_only else planned + [
            self.router_kill, self.router_pause, self.server_kill, self.server_pause, self.store_pause,
            self.store_compact, self.link_fault]
        kind = self.random.choice(kinds)
        began = time.monotonic()
        await kind()
        if kind not in planned:
            self.unplanned.append((began, time.monotonic() + CONTACT_S))

    async def router_kill(self):
        router = self.random.choice(self.deployment.routers)
        if not router.process.is_up() or router.term_at:
            return
        self.note(f"kill {router.name}")
        router.process.send(signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(0.2, 2))
        self.restart(router)

    def restart(self, router):
        router.process.popen.wait()
        self.deployment.ended.append(router.process)
        router.start()
        self.note(f"start {router.name}")

    async def router_pause(self):
        router = self.random.choice(self.deployment.routers)
        process = router.process
        if not process.is_up() or process.paused_at or router.term_at:
            return
        self.note(f"pause {router.name}")
        process.pause()
        await asyncio.sleep(self.random.uniform(0.2, 6))
        process.resume()
        self.note(f"resume {router.name}")

    async def router_stop(self):
        router = self.random.choice(self.deployment.routers)
        if not router.process.is_up() or router.process.paused_at or router.term_at:
            return
        self.note(f"stop {router.name}")
        began = router.term_at = time.monotonic()
        router.process.send(signal.SIGTERM)
        while router.process.is_up() and time.monotonic() < began + GRACE_S:
            await asyncio.sleep(0.02)
        self.stops.append((router.name, began, time.monotonic()))
        if router.process.is_up():
            self.overdue.append(router.name)
        router.process.send(signal.SIGKILL)
        self.restart(router)

    def up_server(self):
        up = [s for s in self.deployment.servers
              if s.process.is_up() and not s.process.paused_at and not s.draining and not s.hidden]
        return self.random.choice(up) if up else None

    async def server_kill(self):
        server = self.up_server()
        if not server:
            return
        self.note(f"kill {server.id}")
        self.end_server(server)
        await asyncio.sleep(self.random.uniform(0.3, 5))
        server.start()
        self.note(f"start {server.id}")

    def end_server(self, server):
        server.process.end()
        self.server_ends[(server.id, server.born)] = int(time.monotonic() * 1e6)
        self.deployment.ended.append(server.process)

    async def server_pause(self):
        server = self.up_server()
        if not server:
            return
        self.note(f"pause {server.id}")
        process = server.process
        process.pause()
        await asyncio.sleep(self.random.uniform(0.2, 5))
        process.resume()
        self.note(f"resume {server.id}")

    async def server_drain(self):
        server = self.up_server()
        if not server:
            return
        self.note(f"drain {server.id}")
        server.draining = True
        await asyncio.sleep(3)
        server.hidden = True
        await asyncio.sleep(self.random.uniform(0.5, 2))
        self.end_server(server)
        server.start()
        self.note(f"start {server.id}")

    async def store_pause(self):
        if self.deployment.store.paused_at:
            return
        self.note("pause the store")
        self.deployment.store.pause()
        await asyncio.sleep(self.random.uniform(0.3, 6))
        self.deployment.store.resume()
        self.note("resume the store")

    async def store_compact(self):
        self.note("drop the store's history")
        await self.deployment.call("/standin/drop-history", "")

    async def link_fault(self):
        links = [r.store_link for r in self.deployment.routers] + [s.link for s in self.deployment.servers]
        link = self.random.choice(links)
        what = self.random.choice(["delay", "reset", "cut_to", "cut_back", "silent", "refuse"])
        self.note(f"{what} on the link to {link.target[1]}")
        if what == "reset":
            link.reset_all()
            return
        link.delay = self.random.uniform(0.02, 0.3) if what == "delay" else link.delay
        link.cut_to |= what in ("cut_to", "silent")
        link.cut_back |= what in ("cut_back", "silent")
        link.refuses |= what == "refuse"
        await asyncio.sleep(self.random.uniform(0.3, 5))
        link.heal()
        self.note(f"heal the link to {link.target[1]}")

    async def config_change(self):
        self.note("new configuration")
        await self.deployment.put("op", "config", self.deployment.next_config())

    def quiet_stops(self):
        """Stops of routers with no unplanned fault from a while before to their end."""
        return [(name, begin, end) for name, begin, end in self.stops
                if not any(f < end and u > begin for f, u in self.unplanned)]


async def play(options, seed):
    out = pathlib.Path(options.out) / str(seed)
    port = BASE_PORT + (seed % 8) * PORTS_PER_RUN
    deployment = Deployment(options.build, out, port)
    requests = []
    with open(out / "history.log", "w", encoding="utf-8") as log:
        history = History(deployment, seed, log)
        try:
            await deployment.start()
            entries = asyncio.create_task(deployment.keep_entries())
            await asyncio.sleep(3)
            callers = [Caller(deployment, requests, seed * 1000 + i) for i in range(CALLERS)]
            until = time.monotonic() + options.length
            tasks = [asyncio.create_task(c.run(REQUESTS_PER_CALLER_S)) for c in callers]
            await history.run(until)
            deployment.heal()
            history.note("all faults are over")
            calm_from = time.monotonic() + RECOVER_S
            await asyncio.sleep(RECOVER_S + CALM_S)
            crashes = deployment.crashes()
            for task in tasks + [entries]:
                task.cancel()
            await asyncio.gather(*tasks, entries, return_exceptions=True)
        finally:
            deployment.stop()
    runs, holds = checks.read_servers(deployment)
    problems = crashes + [f"{name} did not stop within its grace" for name in history.overdue]
    problems += checks.check_answers(requests)
    problems += checks.check_runs(requests, runs)
    problems += checks.check_owners(runs, holds, history.server_ends)
    problems += checks.check_stops(requests, runs, history.quiet_stops())
    problems += checks.check_recovery(requests, calm_from)
    outcomes = collections.Counter(str(r.outcome) for r in requests)
    quiet = len(history.quiet_stops())
    print(f"seed {seed}: {len(requests)} requests {dict(outcomes.most_common(6))}, {len(holds)} holds, "
          f"{quiet} quiet stops, {len(problems)} problems", flush=True)
    for problem in problems[:10]:
        print("  " + problem, flush=True)
    return len(problems)


def listed_seeds():
    lines = (pathlib.Path(__file__).parent / "seeds.txt").read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--out", default="out/soak")
    parser.add_argument("--length", type=float, default=20, help="seconds of faults in each history")
    parser.add_argument("--listed", action="store_true", help="play the seeds of seeds.txt instead")
    parser.add_argument("--first", type=int, default=int(time.time()), help="first seed; fresh ones by default")
    parser.add_argument("--count", type=int, default=1, help="how many seeds")
    options = parser.parse_args()
    seeds = listed_seeds() if options.listed else list(range(options.first, options.first + options.count))
    failed = [seed for seed in seeds if asyncio.run(play(options, seed))]
    if failed:
        print(f"failed seeds: {failed}")
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
