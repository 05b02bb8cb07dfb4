"""Starts a complete deployment on loopback, one process for each program, for the
demo and the measurements. Contains no product logic."""

import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADDRESS = "127.0.0.1"

# By service: (number of servers, work per request in microseconds).
DEPLOYMENTS = {
    "saphir-pointe": {
        "domains": ["rennes", "brest", "vannes"],
        "services": {"lookup": (16, 2000), "reserve": (9, 3000), "sheets": (6, 8000)},
        "slots": 4,
        "connections": 110,
    },
    "ban-suan-kai": {
        "domains": ["chiang-mai", "lampang", "nan"],
        "services": {"khon-roster": (19, 3000), "chao-ledger": (12, 4000), "sara-library": (6, 10000)},
        "slots": 6,
        "connections": 130,
    },
}
HOSTS_PER_DOMAIN = 3
# Factors on the servers' work, assigned in rotation.
SLOWNESS = [1.0, 0.7, 1.4, 1.0, 2.0]


class Fleet:
    """The processes of one deployment: the stand-in platform, the stand-in backend servers,
    and a gateway and a placer on each entry host."""

    def __init__(self, name, build, out, base_port=21000, slowness=None, log_level="info", server_args=()):
        self.name = name
        self.spec = DEPLOYMENTS[name]
        self.build = pathlib.Path(build)
        self.out = pathlib.Path(out)
        self.first_port = base_port
        self.log_level = log_level
        self.slowness = slowness or SLOWNESS
        self.server_args = list(server_args)
        self.processes = {}
        self.commands = {}
        self.platform_port = base_port
        self.hosts = []
        self.servers = []
        self._plan()

    def _plan(self):
        port = self.first_port + 10
        for domain in self.spec["domains"]:
            for i in range(HOSTS_PER_DOMAIN):
                names = ["callers", "control", "hop", "status", "placer", "operators"]
                ports = {n: port + k for k, n in enumerate(names)}
                port += 10
                self.hosts.append({"id": f"{domain}-{i + 1}", "domain": domain, "ports": ports})
        for service, (count, work) in self.spec["services"].items():
            for i in range(count):
                domain = self.spec["domains"][i % len(self.spec["domains"])]
                self.servers.append({
                    "id": f"{service}-{i + 1}", "service": service, "domain": domain, "port": port,
                    "work": work, "slowness": self.slowness[i % len(self.slowness)], "leaving": False,
                    "checks": True,
                })
                port += 1

    def host_list(self):
        entry = [{
            "id": h["id"], "domain": h["domain"], "leaving": h.get("leaving", False),
            **{k: [ADDRESS, h["ports"][k]] for k in ("control", "hop", "placer", "operators")},
        } for h in self.hosts]
        servers = [{
            "id": s["id"], "service": s["service"], "domain": s["domain"], "endpoint": [ADDRESS, s["port"]],
            "slots": self.spec["slots"], "connections": self.spec["connections"],
            "checks_tokens": s["checks"], "leaving": s["leaving"],
        } for s in self.servers]
        return {"entry_hosts": entry, "servers": servers}

    def _write_settings(self):
        self.out.mkdir(parents=True, exist_ok=True)
        (self.out / "hosts.json").write_text(json.dumps(self.host_list()))
        for h in self.hosts:
            p = h["ports"]
            head = f'host = "{h["id"]}"\nfailure_domain = "{h["domain"]}"\nlog_level = "{self.log_level}"\n'
            (self.out / f"gateway-{h['id']}.toml").write_text(
                head + f'workers = 1\ndrain_limit_ms = 10000\n[listen]\naddress = "{ADDRESS}"\n'
                f'callers = {p["callers"]}\ncontrol = {p["control"]}\nhop = {p["hop"]}\nstatus = {p["status"]}\n')
            (self.out / f"placer-{h['id']}.toml").write_text(
                head + f'[listen]\naddress = "{ADDRESS}"\nplacer = {p["placer"]}\noperators = {p["operators"]}\n'
                f'[platform]\naddress = "{ADDRESS}"\nport = {self.platform_port}\n')

    def start_process(self, name, command=None):
        """Starts a process, by default with the command of its last start."""
        command = command or self.commands[name]
        self.commands[name] = command
        log = open(self.out / f"{name}.log", "a")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)
        log.close()

    def program(self, name):
        return str(self.build / "src" / name)

    def start(self):
        self._write_settings()
        self.start_process("platform", [self.program("currantbeam-standin-platform"), "--port",
                                        str(self.platform_port), "--hosts", str(self.out / "hosts.json")])
        for s in self.servers:
            self.start_process(s["id"], [self.program("currantbeam-standin-server"), "--port", str(s["port"]),
                                         "--slots", str(self.spec["slots"]), "--work-us", str(s["work"]),
                                         "--slowness", str(s["slowness"])] + self.server_args)
        for h in self.hosts:
            self.start_process("gateway-" + h["id"], [self.program("currantbeam-gateway"), "--settings",
                                                      str(self.out / f"gateway-{h['id']}.toml")])
            self.start_process("placer-" + h["id"], [self.program("currantbeam-placer"), "--settings",
                                                     str(self.out / f"placer-{h['id']}.toml")])

    def ctl(self, *arguments, check=True):
        placers = []
        for h in self.hosts:
            placers += ["--placer", f"{ADDRESS}:{h['ports']['operators']}"]
        result = subprocess.run([self.program("currantbeamctl"), "--author", "fleet", *placers, *arguments],
                                capture_output=True, text=True)
        if check and result.returncode != 0:
            raise RuntimeError(f"ctl {arguments}: {result.returncode} {result.stdout} {result.stderr}")
        return result

    def wait_ready(self, timeout_s=30):
        """Applies the configuration and waits until all slots are owned and all servers have a driver.

        Raises RuntimeError with the reason if that takes longer than timeout_s."""
        deadline = time.time() + timeout_s
        applied = False
        problem = "no placer responded"
        while time.time() < deadline:
            try:
                if not applied:
                    self.ctl("config", "apply", str(ROOT / "examples" / f"{self.name}.toml"), "--wait-ms", "8000")
                    applied = True
                problem = self.not_ready_reason()
                if not problem:
                    return
            except (RuntimeError, OSError, ValueError) as error:
                problem = str(error)
            time.sleep(0.1)
        raise RuntimeError("not ready: " + problem)

    def not_ready_reason(self):
        """Returns why the deployment is not ready; empty if it is."""
        for h in self.hosts:
            try:
                urllib.request.urlopen(f"http://{ADDRESS}:{h['ports']['status']}/readyz", timeout=2).read()
            except OSError as error:
                return f"{h['id']}: {error}"
        status = json.loads(self.ctl("--json", "status").stdout)
        owned = sum(s["slots_owned"] for s in status["servers"])
        if len(status["servers"]) < len(self.servers):
            return f"{len(status['servers'])} servers are known"
        undriven = [s["server"] for s in status["servers"] if not s["driver"]]
        return (f"servers without a driver: {undriven}" if undriven
                else ("" if owned >= 420 else f"{owned} slots are owned"))

    def post(self, port, path, body):
        request = urllib.request.Request(f"http://{ADDRESS}:{port}{path}", json.dumps(body).encode(), method="POST")
        return urllib.request.urlopen(request, timeout=10).read()

    def platform_faults(self, **faults):
        self.post(self.platform_port, "/standin/faults", faults)

    def set_hosts(self):
        self.post(self.platform_port, "/standin/hosts", self.host_list())

    def server_report(self, server):
        """Returns what a stand-in server counted: busy time, runs and rejections."""
        url = f"http://{ADDRESS}:{server['port']}/standin/report"
        return json.loads(urllib.request.urlopen(url, timeout=10).read())

    def signal_process(self, name, signal_number=signal.SIGKILL):
        """Sends a signal to a process, and waits for its exit after SIGKILL or SIGTERM."""
        self.processes[name].send_signal(signal_number)
        if signal_number in (signal.SIGKILL, signal.SIGTERM):
            self.processes[name].wait(timeout=30)

    def active_placer(self, domain):
        """Returns the host of the domain's active placer; None if none is active."""
        for h in self.hosts:
            if h["domain"] != domain or self.processes["placer-" + h["id"]].poll() is not None:
                continue
            try:
                url = f"http://{ADDRESS}:{h['ports']['operators']}/v1/status"
                if json.loads(urllib.request.urlopen(url, timeout=2).read())["role"] == "active":
                    return h
            except OSError:
                continue
        return None

    def callers(self):
        """Returns the addresses for callers of the gateways that run."""
        return [f"{ADDRESS}:{h['ports']['callers']}" for h in self.hosts
                if self.processes["gateway-" + h["id"]].poll() is None]

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        deadline = time.time() + 15
        for process in self.processes.values():
            try:
                process.wait(timeout=max(0.1, deadline - time.time()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
