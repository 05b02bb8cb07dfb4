"""Starts the real router with stand-ins of the store and of the backend servers,
each in a process of its own, connected through proxies that inject faults."""

import asyncio
import base64
import json
import pathlib
import shutil
import signal
import subprocess
import time

from proxy import Proxy

HEARTBEAT_TTL_S = 2.6  # an entry expires after three missed heartbeats
RECOVERY_TIME_S = 15.0  # time that the routers have to recover after the last fault
STOP_GRACE_S = 3.0
CRASH_RESTART_DELAY_S = 2.0  # until a server that crashed runs again
REWRITE_DELAY_S = 0.7  # from a restore of the store until its other writers write again
SERVICES = {"keyed": True, "plain": False, "fragile": False}


class Process:
    """One process of the deployment. The soak signals no other processes, and these only by pid."""

    def __init__(self, command, env, out):
        self.out = out
        self.popen = subprocess.Popen(command, env=env, stdout=open(out, "ab"), stderr=subprocess.STDOUT)
        self.paused_at = None
        self.was_killed = self.was_stopped = False

    def is_up(self):
        return self.popen.poll() is None

    def try_signal(self, signal_number):
        if self.is_up():
            self.was_killed |= signal_number == signal.SIGKILL
            self.was_stopped |= signal_number == signal.SIGTERM
            self.popen.send_signal(signal_number)

    def pause(self):
        self.try_signal(signal.SIGSTOP)
        self.paused_at = time.monotonic()

    def resume(self):
        self.try_signal(signal.SIGCONT)
        self.paused_at = None

    def is_exit_expected(self):
        """Whether the process runs, was killed, or exited with 0 after SIGTERM."""
        code = self.popen.poll()
        return code is None or (self.was_killed and code == -signal.SIGKILL) or (self.was_stopped and code == 0)

    def kill_and_wait(self):
        self.try_signal(signal.SIGCONT)
        self.try_signal(signal.SIGKILL)
        self.popen.wait()


class Router:
    """One router; `process` is its current process. It reaches the store through `store_link`."""

    def __init__(self, deployment, number):
        self.number = number
        self.address = f"127.0.{10 + number}.1"
        self.name = f"front-{number}"
        self.deployment = deployment
        port = deployment.port
        self.store_link = Proxy("127.0.0.1", port + 100 + number, ("127.0.0.1", port))
        self.settings = deployment.out / f"{self.name}.json"
        self.process = None
        self.all_processes = []   # of every start, oldest first
        self.term_at = None       # when it was last sent SIGTERM

    def write_settings(self, is_first_start):
        port = self.deployment.port
        self.settings.write_text(json.dumps({
            "node": self.name, "zone": "x", "ip": self.address, "bootstrap": is_first_start,
            "listen": {"front": f"{self.address}:{port + 1}", "ready": f"{self.address}:{port + 2}"},
            "portRange": [port + 3, port + 10],
            "limits": {"cpuShare": 1.0, "cores": 1, "linkMbps": 1000},
            "bounds": {"graceS": STOP_GRACE_S, "budgetRatio": 0.2, "budgetExtra": 60, "holdMaxS": 10},
            "platform": {"addr": f"127.0.0.1:{port + 100 + self.number}"}}))

    def start(self):
        self.write_settings(is_first_start=not self.all_processes)
        self.process = Process([str(self.deployment.build / "platform/currantbeam-router")],
                               {"CURRANTBEAM_BOOT": str(self.settings)},
                               self.deployment.out / f"{self.name}.log")
        self.all_processes.append(self.process)
        self.term_at = None


class Server:
    """One backend server; `process` is its current process. Routers reach it through `link`, if it has one."""

    def __init__(self, deployment, service, number, is_direct=False):
        self.deployment, self.service = deployment, service
        self.number = number
        self.port = deployment.port + 200 + number
        self.start_count = 0
        self.id = f"i-{service}-{number}"
        self.link = None if is_direct else Proxy("127.0.0.1", deployment.port + 300 + number, ("127.0.0.1", self.port))
        self.process = None
        self.stored_entry = None  # its row in the store
        self.is_draining = False
        self.is_deregistered = False
        self.started_ms = 0       # Unix time of the last start
        self.logs = []            # (id, started_ms, file) of every start

    def start(self):
        self.start_count += 1
        self.started_ms = int(time.time() * 1000)
        self.is_draining = self.is_deregistered = False
        log = self.deployment.out / f"server-{self.number}-{self.start_count}.log"
        self.logs.append((self.id, self.started_ms, log))
        command = [str(self.deployment.build / "src/currantbeam-standin-wire"), "--role", "server",
                   "--port", str(self.port), "--id", self.id, "--work-ms", "20"]
        self.process = Process(command + (["--keyed"] if SERVICES[self.service] else []), {}, log)

    def expected_entry(self):
        """The row that the server's heartbeats keep in the store; None once they lapse."""
        process = self.process
        if process is None or self.is_deregistered or not process.is_up():
            return None
        if process.paused_at and time.monotonic() - process.paused_at > HEARTBEAT_TTL_S:
            return None
        port = self.link.port if self.link else self.port
        return {"service": self.service, "addr": f"127.0.0.1:{port}", "zone": "x", "version": "v1",
                "slots": 4, "state": "draining" if self.is_draining else "ready", "coldLeftS": 0,
                "seq": 1, "born": self.started_ms}


class Deployment:
    """The store, the routers and the backend servers of one run."""

    def __init__(self, build, out, port, routers=4, keyed=5, plain=3, fragile=3):
        self.build, self.out, self.port = pathlib.Path(build).resolve(), pathlib.Path(out), port
        shutil.rmtree(self.out, ignore_errors=True)
        self.out.mkdir(parents=True)
        self.store = None
        self.routers = [Router(self, i) for i in range(routers)]
        services = ["keyed"] * keyed + ["plain"] * plain
        self.servers = [Server(self, s, i) for i, s in enumerate(services)]
        # No faults are injected into these, but some requests crash them. A proxy would accept connections
        # to a process that has ended, so they have none.
        self.fragile_servers = [Server(self, "fragile", len(services) + i, is_direct=True) for i in range(fragile)]
        self.all_servers = self.servers + self.fragile_servers
        self.config_version = 0
        self.old_processes = []   # of earlier starts

    async def start(self):
        self.store = Process([str(self.build / "src/currantbeam-standin-wire"), "--role", "store",
                              "--port", str(self.port)], {}, self.out / "store.log")
        for new_router in self.routers:
            await new_router.store_link.start()
        for server in self.servers:
            await server.link.start()
        for server in self.all_servers:
            server.start()
        await self._retry(lambda: self.put("op", "config", self.next_config()))
        for router in self.routers:
            router.start()

    async def _retry(self, attempt):
        for _ in range(100):
            if await attempt():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the stand-ins did not start")

    def next_config(self):
        self.config_version += 1
        paths = [{"name": f"r-{service}-{kind}", "prefix": f"/{service}/{kind}/", "type": kind, "timeoutS": 2,
                  "latencyTargetS": 0.3, "priority": 1, "service": service, "maxAttempts": 2}
                 for service in SERVICES for kind in ("safe", "unsafe", "download")]
        paths += [{"name": f"x{i}", "prefix": f"/extra{i}/", "type": "safe", "timeoutS": 2, "latencyTargetS": 0.3,
                   "priority": 1, "service": "plain", "maxAttempts": 2} for i in range(self.config_version % 3)]
        services = [{"name": name, "healthPath": "/health", "maxConns": 110, "sharded": keyed, "warmS": 3.0}
                    for name, keyed in SERVICES.items()]
        return {"version": self.config_version, "services": services,
                "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 65536, "headerTimeoutS": 5, "idleTimeoutS": 30},
                "hosts": [{"host": "h.example", "paths": paths}]}

    async def put(self, table, key, value):
        """Writes a row, or removes it if the value is None. Returns whether the store responded with 200."""
        name = {"table": table, "part": "", "key": key}
        if value is None:
            body = {"expect": [], "puts": [], "remove": [name]}
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            body = {"expect": [], "puts": [{**name, "value": text}], "remove": []}
        return await self.call("/rows-tx", json.dumps(body))

    async def restore_store(self, age_s, down_s):
        """Takes the store away and restores it to what it held age_s before. Returns whether it accepted the call.

        Rows of the operator and of the servers that it loses are written again soon after."""
        query = f"seconds={age_s:.3f}&downMs={down_s * 1000:.0f}&rewriteMs={REWRITE_DELAY_S * 1000:.0f}"
        return await self.call(f"/standin/restore?{query}", "")

    async def call(self, path, body):
        """Posts to the store directly, not through a proxy. Returns whether it responded with 200."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.port), 0.5)
            writer.write(f"POST {path} HTTP/1.1\r\nHost: s\r\nConnection: close\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
            head = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in head
        except (OSError, asyncio.TimeoutError):
            return False

    async def sync_entries(self):
        """Writes and removes the servers' rows, as their heartbeats would, until it is cancelled."""
        while True:
            for server in self.all_servers:
                expected = server.expected_entry()
                if expected != server.stored_entry and await self.put("servers", server.id, expected):
                    server.stored_entry = expected
            await asyncio.sleep(0.1)

    async def restart_fragile(self, server, log_event):
        """Starts the server again some time after each of its crashes, until it is cancelled."""
        while True:
            await asyncio.sleep(0.05)
            if server.process.is_up():
                continue
            log_event(f"{server.id} crashed")
            await asyncio.sleep(CRASH_RESTART_DELAY_S)
            server.start()

    def clear_faults(self):
        for proxy in [r.store_link for r in self.routers] + [s.link for s in self.servers]:
            proxy.clear_faults()

    def unexpected_exits(self):
        """Describes the routers that exited unprompted, or with an error after SIGTERM."""
        processes = [(r.name, p) for r in self.routers for p in r.all_processes]
        return [f"{name} exited with code {p.popen.returncode}" for name, p in processes if not p.is_exit_expected()]

    def stop(self):
        current = [self.store] + [p.process for p in self.routers + self.all_servers]
        for process in [p for p in current if p] + self.old_processes:
            process.kill_and_wait()
        # Another seed of the same run may use these ports.
        for proxy in [r.store_link for r in self.routers] + [s.link for s in self.servers]:
            proxy.stop_listening()
