"""The real router processes with stand-ins of the store and of backend servers,
each a process of its own, joined by proxies that can be harmed."""

import asyncio
import base64
import json
import pathlib
import shutil
import signal
import subprocess
import time

from proxy import Proxy

BEAT_LAPSE_S = 2.6     # an entry lapses after three missed heartbeats
RECOVER_S = 15.0
GRACE_S = 3.0
SERVICES = {"keyed": True, "plain": False}


class Process:
    """One process of the deployment. Only these are ever signalled, by pid."""

    def __init__(self, words, env, out):
        self.out = out
        self.popen = subprocess.Popen(words, env=env, stdout=open(out, "ab"), stderr=subprocess.STDOUT)
        self.paused_at = None
        self.was_killed = self.was_stopped = False

    def is_up(self):
        return self.popen.poll() is None

    def send(self, number):
        if self.is_up():
            self.was_killed |= number == signal.SIGKILL
            self.was_stopped |= number == signal.SIGTERM
            self.popen.send_signal(number)

    def pause(self):
        self.send(signal.SIGSTOP)
        self.paused_at = time.monotonic()

    def resume(self):
        self.send(signal.SIGCONT)
        self.paused_at = None

    def is_end_wanted(self):
        """Whether the process runs, was killed, or ended well after it was told to stop."""
        code = self.popen.poll()
        return code is None or (self.was_killed and code == -signal.SIGKILL) or (self.was_stopped and code == 0)

    def end(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.popen.wait()


class Router:
    def __init__(self, deployment, number):
        self.address = f"127.0.{10 + number}.1"
        self.name = f"front-{number}"
        self.deployment = deployment
        port = deployment.port
        self.store_link = Proxy("127.0.0.1", port + 100 + number, ("127.0.0.1", port))
        self.settings = deployment.out / f"{self.name}.json"
        self.settings.write_text(json.dumps({
            "node": self.name, "zone": "x", "ip": self.address,
            "listen": {"front": f"{self.address}:{port + 1}", "ready": f"{self.address}:{port + 2}"},
            "portRange": [port + 3, port + 10],
            "limits": {"cpuShare": 1.0, "cores": 1, "linkMbps": 1000},
            "bounds": {"graceS": GRACE_S, "budgetRatio": 0.2, "budgetExtra": 60, "holdMaxS": 10},
            "platform": {"addr": f"127.0.0.1:{port + 100 + number}"}}))
        self.process = None
        self.lives = []           # the processes of all lives
        self.term_at = None

    def start(self):
        self.process = Process([str(self.deployment.build / "platform/currantbeam-router")],
                               {"CURRANTBEAM_BOOT": str(self.settings)},
                               self.deployment.out / f"{self.name}.log")
        self.lives.append(self.process)
        self.term_at = None


class Server:
    def __init__(self, deployment, service, number):
        self.deployment, self.service = deployment, service
        self.number = number
        self.port = deployment.port + 200 + number
        self.life = 0
        self.id = f"i-{service}-{number}"
        self.link = Proxy("127.0.0.1", deployment.port + 300 + number, ("127.0.0.1", self.port))
        self.process = None
        self.entry = None         # as it is in the store
        self.draining = False
        self.hidden = False       # takes no part any more
        self.born = 0
        self.logs = []            # (id, born, file) of each life

    def start(self):
        self.life += 1
        self.born = int(time.time() * 1000)
        self.draining = self.hidden = False
        log = self.deployment.out / f"server-{self.number}-{self.life}.log"
        self.logs.append((self.id, self.born, log))
        words = [str(self.deployment.build / "src/currantbeam-standin-wire"), "--role", "server",
                 "--port", str(self.port), "--id", self.id, "--work-ms", "20"]
        self.process = Process(words + (["--keyed"] if SERVICES[self.service] else []), {}, log)

    def wanted_entry(self):
        process = self.process
        if process is None or self.hidden or not process.is_up():
            return None
        if process.paused_at and time.monotonic() - process.paused_at > BEAT_LAPSE_S:
            return None
        return {"service": self.service, "addr": f"127.0.0.1:{self.link.port}", "zone": "x", "version": "v1",
                "slots": 4, "state": "draining" if self.draining else "ready", "coldLeftS": 0,
                "seq": 1, "born": self.born}


class Deployment:
    def __init__(self, build, out, port, routers=4, keyed=5, plain=3):
        self.build, self.out, self.port = pathlib.Path(build).resolve(), pathlib.Path(out), port
        shutil.rmtree(self.out, ignore_errors=True)
        self.out.mkdir(parents=True)
        self.store = None
        self.routers = [Router(self, i) for i in range(routers)]
        services = ["keyed"] * keyed + ["plain"] * plain
        self.servers = [Server(self, s, i) for i, s in enumerate(services)]
        self.config_version = 0
        self.ended = []           # processes of earlier lives

    async def start(self):
        self.store = Process([str(self.build / "src/currantbeam-standin-wire"), "--role", "store",
                              "--port", str(self.port)], {}, self.out / "store.log")
        for part in self.routers:
            await part.store_link.start()
        for server in self.servers:
            await server.link.start()
            server.start()
        await self._until(lambda: self.put("op", "config", self.next_config()))
        for router in self.routers:
            router.start()

    async def _until(self, attempt):
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
        """Writes a row, or removes it if there is no value. Returns whether the store answered."""
        name = {"table": table, "part": "", "key": key}
        if value is None:
            body = {"expect": [], "puts": [], "remove": [name]}
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            body = {"expect": [], "puts": [{**name, "value": text}], "remove": []}
        return await self.call("/rows-tx", json.dumps(body))

    async def call(self, path, body):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.port), 0.5)
            writer.write(f"POST {path} HTTP/1.1\r\nHost: s\r\nConnection: close\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
            head = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in head
        except (OSError, asyncio.TimeoutError):
            return False

    async def keep_entries(self):
        """Writes what the servers' heartbeats would, as long as the store answers."""
        while True:
            for server in self.servers:
                wanted = server.wanted_entry()
                if wanted != server.entry and await self.put("servers", server.id, wanted):
                    server.entry = wanted
            await asyncio.sleep(0.1)

    def heal(self):
        for proxy in [r.store_link for r in self.routers] + [s.link for s in self.servers]:
            proxy.heal()

    def crashes(self):
        """What routers ended though nobody ended them, or with an error after they were told to stop."""
        processes = [(r.name, p) for r in self.routers for p in r.lives]
        return [f"{name} ended with code {p.popen.returncode}" for name, p in processes if not p.is_end_wanted()]

    def stop(self):
        parts = [self.store] + [p.process for p in self.routers + self.servers]
        for process in [p for p in parts if p] + self.ended:
            process.end()
