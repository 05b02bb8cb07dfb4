"""Clients of the routers. They use persistent connections and record the outcome of each request."""

import asyncio
import random
import time

DEADLINE_S = 2.0
NOT_RUN = {408, 421, 429, 503}


class Request:
    """One request of a caller and its outcome. Times are of the monotonic clock."""

    def __init__(self, number, kind, service, key):
        self.id = f"{number:08x}"
        self.path = f"/{service}/{kind}/a"
        self.kind, self.service, self.key = kind, service, key
        self.router = None
        self.written_at = None    # when the request was written to the connection
        self.ended_at = None
        self.outcome = "unsent"   # an HTTP status, "closed", "late" or "unsent"
        self.problem = None       # what is wrong with the response, if anything


def parse_response_head(head):
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return int(lines[0].split(" ")[1]), headers


class Caller:
    """Sends one request at a time on a persistent connection to a randomly chosen router."""

    def __init__(self, deployment, requests, seed):
        self.deployment, self.requests = deployment, requests
        self.random = random.Random(seed)
        self.connection = None
        self.router = None

    async def run(self, rate):
        """Sends requests until it is cancelled; rate is the mean number per second between responses."""
        while True:
            await self.send(self.random.choice(["safe", "safe", "unsafe", "download"]),
                            self.random.choice(["keyed", "plain"]))
            await asyncio.sleep(self.random.expovariate(rate))

    def close(self):
        if self.connection:
            self.connection[1].close()
        self.connection = None

    async def connect(self):
        """Connects to a router that runs and is not stopping. Returns whether that succeeded."""
        routers = [r for r in self.deployment.routers if r.process.is_up() and r.term_at is None]
        if not routers:
            return False
        self.router = self.random.choice(routers)
        try:
            attempt = asyncio.open_connection(self.router.address, self.deployment.port + 1)
            self.connection = await asyncio.wait_for(attempt, 1)
            return True
        except (OSError, asyncio.TimeoutError):
            return False

    def new_request(self, kind, service):
        return Request(len(self.requests), kind, service, self.random.randrange(65536))

    async def send(self, kind, service):
        request = self.new_request(kind, service)
        self.requests.append(request)
        if not self.connection and not await self.connect():
            return request
        request.router = self.router.name
        method = "POST" if kind == "unsafe" else "GET"
        body = "order" if kind == "unsafe" else ""
        head = (f"{method} {request.path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request.id}\r\n"
                f"X-Shard-Key: {request.key}\r\nX-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}")
        try:
            self.connection[1].write(head.encode())
            request.written_at = time.monotonic()
            # The router may send its own error response up to half a second after the deadline.
            await asyncio.wait_for(self.read(request), DEADLINE_S + 0.6)
        except asyncio.TimeoutError:
            request.outcome = "late"
            self.close()
        except (OSError, asyncio.IncompleteReadError):
            request.outcome = "closed"
            self.close()
        request.ended_at = time.monotonic()
        return request

    async def read(self, request):
        reader = self.connection[0]
        head = await reader.readuntil(b"\r\n\r\n")
        status, headers = parse_response_head(head[:-4])
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request.outcome = status
        if 200 <= status < 300:
            if not headers.get("x-backend-seal"):
                request.problem = "a success without the server's X-Backend-Seal header"
            elif headers.get("x-request-id") != request.id:
                request.problem = "a response to another request"
            elif body != b"b" * 100:
                request.problem = "a body that the server did not send"
        elif 300 <= status < 500 and status not in NOT_RUN:
            request.problem = f"status {status} for a valid request"
        if headers.get("connection", "").lower() == "close":
            self.close()


class DeadlyCaller(Caller):
    """Sends one request, which ends each server that runs it, again and again."""

    FIRST_NUMBER = 0xdead0000   # apart from the numbers of other requests
    KEY = 7

    def new_request(self, kind, service):
        request = Request(self.FIRST_NUMBER + len(self.requests), kind, service, self.KEY)
        request.path = f"/{service}/{kind}/deadly"
        return request

    async def run(self, rate):
        """Sends the request on new connections until it is cancelled; rate is the mean number per second."""
        while True:
            await self.send("safe", "fragile")
            self.close()
            await asyncio.sleep(self.random.expovariate(rate))
