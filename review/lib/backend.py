"""A backend server of the users' protocol, as a process of its own.

It is sound unless a fault is switched on with `POST /standin/fault`. Its events go to standard output, one line
each: seconds of the machine's steady clock, the kind of event, and its fields.
"""

import argparse
import asyncio
import json
import time

KEY_COUNT = 65536
QUEUE_LENGTH = 24
ENDLESS_CHUNK = b"\0" * 262144


class Backend:
    def __init__(self, options):
        self.options = options
        self.fault = {}
        self.running = 0
        self.waiting = 0
        self.fences = [0] * KEY_COUNT       # the highest fencing token seen, by key
        self.held_until = [0.0] * KEY_COUNT
        self.work_on = [0] * KEY_COUNT      # running requests, by key

    def log(self, *fields):
        print(f"{time.monotonic():.4f}", *fields, flush=True)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await self.read_body(reader, headers)
                await self.answer(reader, writer, method, target, headers, body)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            pass
        finally:
            writer.transport.abort() if writer.transport.is_closing() else writer.close()

    async def read_body(self, reader, headers):
        """Reads the body; of a long one only the length is kept."""
        left = int(headers.get("content-length", 0))
        if left <= 65536:
            return await reader.readexactly(left)
        while left > 0:
            data = await reader.read(min(left, 262144))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)
        return b""

    async def answer(self, reader, writer, method, target, headers, body):
        if target == "/standin/fault":
            self.fault = json.loads(body)
            self.log("fault", json.dumps(self.fault))
            await self.send(writer, headers, "200 OK")
            return
        is_order = target in ("/grant", "/release")
        kind = target[1:] if is_order else "request"
        if kind in self.fault.get("endless", []):
            await self.send_endless(writer, kind, headers)
            return
        expected = headers.get("x-expect-instance", self.options.id)
        if expected != self.options.id:
            await self.send(writer, headers, "421 Misdirected Request",
                            {"X-Instance-Id": self.options.id, "X-Not-Executed": "1"})
            return
        if target == "/health":
            await self.send(writer, headers, "200 OK", {"X-Instance-Id": self.options.id})
        elif target == "/grant":
            await self.grant(writer, headers, json.loads(body))
        elif target == "/release":
            await self.release(writer, headers, json.loads(body))
        else:
            await self.run(reader, writer, headers)

    async def send_endless(self, writer, kind, headers):
        """Sends the head of an answer that belongs to no request, and then bytes without end."""
        self.log("endless", kind, headers.get("x-request-id", "-"))
        sent = 0
        try:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                writer.write(ENDLESS_CHUNK)
                sent += len(ENDLESS_CHUNK)
                await writer.drain()
        finally:
            self.log("endless-closed-by-caller", kind, headers.get("x-request-id", "-"), sent)

    async def send(self, writer, headers, status, fields=None, body=b""):
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
        if "x-request-id" in headers:
            lines.append(f"X-Request-Id: {headers['x-request-id']}")
        lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()

    async def grant(self, writer, headers, order):
        keys = range(order["from"], order["target"] + 1)
        if any(self.fences[key] > order["fence"] for key in keys):
            await self.send(writer, headers, "409 Conflict")
            return
        until = time.monotonic() + order["holdS"]
        for key in keys:
            self.fences[key] = order["fence"]
            self.held_until[key] = until
        self.log("grant", order["from"], order["target"], order["fence"], order["holdS"])
        await self.send(writer, headers, "200 OK")

    async def release(self, writer, headers, order):
        keys = range(order["from"], order["target"] + 1)
        for key in keys:
            self.fences[key] = max(self.fences[key], order["fence"])
            self.held_until[key] = 0.0
        self.log("release", order["from"], order["target"], order["fence"])
        while any(self.work_on[key] for key in keys):
            await asyncio.sleep(0.002)
        await self.send(writer, headers, "200 OK", {"X-Handover": f"from-{self.options.id}"})

    async def run(self, reader, writer, headers):
        key = int(headers.get("x-shard-key", -1))
        request = headers.get("x-request-id", "-")
        if self.options.keyed and (key < 0 or self.held_until[key] <= time.monotonic()):
            await self.send(writer, headers, "421 Misdirected Request",
                            {"X-Instance-Id": self.options.id, "X-Not-Executed": "1"})
            return
        deadline = time.monotonic() + int(headers.get("x-deadline-ms", 60000)) / 1000
        if self.waiting >= QUEUE_LENGTH or not await self.await_slot(deadline):
            await self.send(writer, headers, "503 Service Unavailable", {"X-Not-Executed": "1"})
            return
        self.running += 1
        self.work_on[key] += 1
        self.log("run", request, key)
        try:
            end = time.monotonic() + self.options.work_ms / 1000
            while time.monotonic() < end and not reader.at_eof():
                await asyncio.sleep(min(0.01, max(0.0, end - time.monotonic())))
        finally:
            self.running -= 1
            self.work_on[key] -= 1
        await self.send(writer, headers, "200 OK", {"X-Backend-Seal": f"seal.{self.options.id}.{request}"},
                        b"b" * self.options.body_bytes)

    async def await_slot(self, deadline):
        self.waiting += 1
        while self.running >= self.options.slots and time.monotonic() < deadline:
            await asyncio.sleep(0.002)
        self.waiting -= 1
        return self.running < self.options.slots


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--keyed", action="store_true")
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--work-ms", type=int, default=50)
    parser.add_argument("--body-bytes", type=int, default=1500)
    backend = Backend(parser.parse_args())
    server = await asyncio.start_server(backend.serve, backend.options.address, backend.options.port, limit=1 << 20)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
