"""Runs the real router under injected faults and checks its invariants on what
callers and backend servers observe. A seed determines the faults of one run;
seeds.txt lists every seed that ever failed, with its cause, to run it again."""

import argparse
import asyncio
import collections
import contextlib
import pathlib
import random
import signal
import socket
import sys
import time

import checks
from callers import Caller, DeadlyCaller
from deployment import RECOVERY_TIME_S, STOP_GRACE_S, Deployment

CALLER_COUNT = 12
REQUESTS_PER_CALLER_S = 5
DEADLY_REQUESTS_PER_S = 3
SHARING_TIME_S = 3.0      # time in which undisturbed routers share which request ends servers
RECOVERY_CHECK_S = 3.0    # time after the recovery whose requests must be served
FAULT_EFFECT_S = 3.0      # the effects of a fault may last this long after it
PLANNED_ONLY_SEED_STEP = 4  # every 4th seed has planned maintenance only
FIRST_PORT = 20000
END_PORT = 28000  # the other tests have their ports from here on
PORTS_PER_RUN = 400


class FaultInjector:
    """Injects the faults of one seed into a deployment, and records them."""

    def __init__(self, deployment, seed, log):
        self.deployment, self.log = deployment, log
        self.random = random.Random(seed)
        # No request may be cut off during planned maintenance.
        self.is_planned_only = seed % PLANNED_ONLY_SEED_STEP == 0
        self.server_killed_at = {}    # (id, started_ms) -> when it was killed, in us
        self.unplanned_faults = []    # (from, until) of faults that are not planned
        self.router_stops = []        # (router, from, until)
        self.router_outages = []      # (router, from, until) of all pauses and restarts
        self.is_store_restoring = False
        self.late_stops = []          # routers that did not stop within the grace period

    def log_event(self, text):
        self.log.write(f"{time.monotonic():.3f} {text}\n")
        self.log.flush()

    async def run(self, until):
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self.inject_fault()))
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
        await asyncio.gather(*tasks)

    async def inject_fault(self):
        planned = [self.router_stop, self.server_drain, self.config_change]
        kinds = planned if self.is_planned_only else planned + [
            self.router_kill, self.router_pause, self.server_kill, self.server_pause, self.store_pause,
            self.store_compact, self.store_restore, self.link_fault]
        kind = self.random.choice(kinds)
        began = time.monotonic()
        await kind()
        if kind not in planned:
            self.unplanned_faults.append((began, time.monotonic() + FAULT_EFFECT_S))

    async def router_kill(self):
        router = self.random.choice(self.deployment.routers)
        if not router.process.is_up() or router.term_at:
            return
        self.log_event(f"kill {router.name}")
        began = time.monotonic()
        router.process.try_signal(signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(0.2, 2))
        self.restart(router)
        self.record_outage(router, began)

    def record_outage(self, router, began):
        self.router_outages.append((router.name, began, time.monotonic() + SHARING_TIME_S))

    def restart(self, router):
        router.process.popen.wait()
        self.deployment.old_processes.append(router.process)
        router.start()
        self.log_event(f"start {router.name}")

    async def router_pause(self):
        router = self.random.choice(self.deployment.routers)
        process = router.process
        if not process.is_up() or process.paused_at or router.term_at:
            return
        self.log_event(f"pause {router.name}")
        began = time.monotonic()
        process.pause()
        await asyncio.sleep(self.random.uniform(0.2, 6))
        process.resume()
        self.record_outage(router, began)
        self.log_event(f"resume {router.name}")

    async def router_stop(self):
        router = self.random.choice(self.deployment.routers)
        if not router.process.is_up() or router.process.paused_at or router.term_at:
            return
        self.log_event(f"stop {router.name}")
        began = router.term_at = time.monotonic()
        router.process.try_signal(signal.SIGTERM)
        while router.process.is_up() and time.monotonic() < began + STOP_GRACE_S:
            await asyncio.sleep(0.02)
        self.router_stops.append((router.name, began, time.monotonic()))
        if router.process.is_up():
            self.late_stops.append(router.name)
        router.process.try_signal(signal.SIGKILL)
        self.restart(router)
        self.record_outage(router, began)

    def pick_server(self):
        """A random server that runs and is neither paused nor draining; None if there is none."""
        up = [s for s in self.deployment.servers
              if s.process.is_up() and not s.process.paused_at and not s.is_draining and not s.is_deregistered]
        return self.random.choice(up) if up else None

    async def server_kill(self):
        server = self.pick_server()
        if not server:
            return
        self.log_event(f"kill {server.id}")
        self.kill_process(server)
        await asyncio.sleep(self.random.uniform(0.3, 5))
        server.start()
        self.log_event(f"start {server.id}")

    def kill_process(self, server):
        server.process.kill_and_wait()
        self.server_killed_at[(server.id, server.started_ms)] = int(time.monotonic() * 1e6)
        self.deployment.old_processes.append(server.process)

    async def server_pause(self):
        server = self.pick_server()
        if not server:
            return
        self.log_event(f"pause {server.id}")
        process = server.process
        process.pause()
        await asyncio.sleep(self.random.uniform(0.2, 5))
        process.resume()
        self.log_event(f"resume {server.id}")

    async def server_drain(self):
        server = self.pick_server()
        if not server:
            return
        self.log_event(f"drain {server.id}")
        server.is_draining = True
        await asyncio.sleep(3)
        server.is_deregistered = True
        await asyncio.sleep(self.random.uniform(0.5, 2))
        self.kill_process(server)
        server.start()
        self.log_event(f"start {server.id}")

    async def store_pause(self):
        if self.deployment.store.paused_at:
            return
        self.log_event("pause the store")
        self.deployment.store.pause()
        await asyncio.sleep(self.random.uniform(0.3, 6))
        self.deployment.store.resume()
        self.log_event("resume the store")

    async def store_compact(self):
        self.log_event("drop the store's history")
        await self.deployment.call("/standin/drop-history", "")

    async def store_restore(self):
        if self.deployment.store.paused_at or self.is_store_restoring:
            return
        age_s, down_s = self.random.uniform(1, 9), self.random.uniform(0.3, 3)
        self.log_event(f"take the store away for {down_s:.1f} s")
        if not await self.deployment.restore_store(age_s, down_s):
            self.log_event("the store did not accept the restore")
            return
        self.is_store_restoring = True
        await asyncio.sleep(down_s)
        self.is_store_restoring = False
        self.log_event(f"restore the store from a copy {age_s:.1f} s older than its outage")

    async def link_fault(self):
        links = [r.store_link for r in self.deployment.routers] + [s.link for s in self.deployment.servers]
        link = self.random.choice(links)
        fault = self.random.choice(["delay", "reset", "cut_to", "cut_back", "silent", "refuse"])
        self.log_event(f"{fault} on the link to {link.target[1]}")
        if fault == "reset":
            link.reset_all()
            return
        link.delay = self.random.uniform(0.02, 0.3) if fault == "delay" else link.delay
        link.cut_to |= fault in ("cut_to", "silent")
        link.cut_back |= fault in ("cut_back", "silent")
        link.refuses |= fault == "refuse"
        await asyncio.sleep(self.random.uniform(0.3, 5))
        link.clear_faults()
        self.log_event(f"clear the faults of the link to {link.target[1]}")

    async def config_change(self):
        self.log_event("new configuration")
        await self.deployment.put("op", "config", self.deployment.next_config())

    def undisturbed_stops(self):
        """The stops of routers during which no unplanned fault was in effect."""
        return [(name, begin, end) for name, begin, end in self.router_stops
                if not any(f < end and u > begin for f, u in self.unplanned_faults)]


@contextlib.contextmanager
def reserved_ports():
    """Yields the first of PORTS_PER_RUN ports of localhost that no other soak uses meanwhile."""
    for first in range(FIRST_PORT, END_PORT, PORTS_PER_RUN):
        with socket.socket() as guard:
            try:
                # A run does not use its last port, so that binding it reserves the others.
                guard.bind(("127.0.0.1", first + PORTS_PER_RUN - 1))
            except OSError:
                continue
            yield first
            return
    raise RuntimeError("no free block of ports on localhost")


async def run_seed(options, seed):
    with reserved_ports() as port:
        return await run_seed_at(options, seed, port)


async def run_seed_at(options, seed, port):
    out = pathlib.Path(options.out) / str(seed)
    deployment = Deployment(options.build, out, port)
    requests, deadly_requests = [], []
    with open(out / "history.log", "w", encoding="utf-8") as log:
        injector = FaultInjector(deployment, seed, log)
        try:
            await deployment.start()
            sync_task = asyncio.create_task(deployment.sync_entries())
            await asyncio.sleep(3)
            callers = [Caller(deployment, requests, seed * 1000 + i) for i in range(CALLER_COUNT)]
            until = time.monotonic() + options.length
            tasks = [asyncio.create_task(c.run(REQUESTS_PER_CALLER_S)) for c in callers]
            deadly_caller = DeadlyCaller(deployment, deadly_requests, seed)
            tasks.append(asyncio.create_task(deadly_caller.run(DEADLY_REQUESTS_PER_S)))
            tasks += [asyncio.create_task(deployment.restart_fragile(s, injector.log_event))
                      for s in deployment.fragile_servers]
            await injector.run(until)
            deployment.clear_faults()
            injector.log_event("all faults are over")
            recovered_at = time.monotonic() + RECOVERY_TIME_S
            await asyncio.sleep(RECOVERY_TIME_S + RECOVERY_CHECK_S)
            unexpected_exits = deployment.unexpected_exits()
            for task in tasks + [sync_task]:
                task.cancel()
            await asyncio.gather(*tasks, sync_task, return_exceptions=True)
        finally:
            deployment.stop()
    runs, leases, grants = checks.read_server_logs(deployment)
    violations = unexpected_exits + [f"{name} did not stop within its grace period" for name in injector.late_stops]
    violations += checks.check_fiber_failures(sorted(out.glob("*.log")))
    violations += checks.check_responses(requests)
    violations += checks.check_executions(requests + deadly_requests, runs)
    violations += checks.check_deadly_request(deadly_requests, runs, injector.router_outages, SHARING_TIME_S)
    violations += checks.check_single_holder(leases, injector.server_killed_at)
    violations += checks.check_single_owner(runs, leases, injector.server_killed_at)
    violations += checks.check_rising_tokens(grants)
    violations += checks.check_graceful_stops(requests, runs, injector.undisturbed_stops())
    violations += checks.check_recovery(requests, recovered_at)
    outcomes = collections.Counter(str(r.outcome) for r in requests)
    undisturbed = len(injector.undisturbed_stops())
    print(f"seed {seed}: {len(requests)} requests {dict(outcomes.most_common(6))}, {len(leases)} leases, "
          f"{undisturbed} undisturbed stops, {len(violations)} violations", flush=True)
    for violation in violations[:10]:
        print("  " + violation, flush=True)
    return len(violations)


def known_red_seeds():
    """The seeds of the lines "test: soak_short seed N" in KNOWN-RED.txt."""
    prefix = "test: soak_short seed "
    lines = (pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt").read_text(encoding="utf-8").splitlines()
    return {int(line[len(prefix):]) for line in lines if line.startswith(prefix)}


def listed_seeds():
    lines = (pathlib.Path(__file__).parent / "seeds.txt").read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--out", default="out/soak")
    parser.add_argument("--length", type=float, default=20, help="seconds of fault injection for each seed")
    parser.add_argument("--listed", action="store_true", help="run the seeds of seeds.txt instead")
    parser.add_argument("--first", type=int, default=int(time.time()), help="first seed; the current time by default")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    options = parser.parse_args()
    seeds = listed_seeds() if options.listed else list(range(options.first, options.first + options.count))
    if options.listed:
        known_red = known_red_seeds()
        print(f"not run, listed in KNOWN-RED.txt: seeds {sorted(known_red)}", flush=True)
        seeds = [seed for seed in seeds if seed not in known_red]
    failed = [seed for seed in seeds if asyncio.run(run_seed(options, seed))]
    if failed:
        print(f"failed seeds: {failed}")
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
