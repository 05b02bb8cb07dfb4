"""A keyed backend whose answers hold wrong bytes now and then is emptied; requests to another,
sound service are cut when the coordinator's process ends."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import fleet as fleets  # noqa: E402

KEYED_BACKENDS = 6
GARBLING_BACKENDS = 2  # A share of 0.33.
SPOILED_SHARE = 0.02
CLIENTS_PER_ROUTER = 12
WATCH_S = 25
MAX_CUTS = 3


class GarblingBackend(fleets.Backend):
    """Spoils a share of its answers: one byte of what the answer carries is wrong."""

    spoils = False

    def _order(self, message, is_release):
        reply = super()._order(message, is_release)
        mark = b"X-Handover: "
        if not self.spoils or mark not in reply or random.random() >= SPOILED_SHARE:
            return reply
        at = reply.index(mark) + len(mark)
        self.record.add(self.id, "spoils a byte of its answer to", message.words[1])
        return reply[:at] + b"\xe9" + reply[at + 1:]


class Client:
    """Sends requests over one kept connection; counts those that end without an answer."""

    def __init__(self, fleet, router, name):
        self.fleet = fleet
        self.router = router
        self.name = name
        self.cut_requests = []

    async def run(self):
        count = 0
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    self.router.address, self.router.ports["front"])
            except OSError:
                await asyncio.sleep(0.2)
                continue
            is_kept = False
            while True:
                count += 1
                request_id = f"{self.fleet.run_name}-{self.name}-{count}"
                self.fleet.record.add("sent", request_id, "to", self.router.name,
                                      "kept" if is_kept else "new", "connection")
                head = (f"GET /hold/a HTTP/1.1\r\nHost: {self.fleet.HOST}\r\n"
                        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 1500\r\n\r\n")
                try:
                    writer.write(head.encode())
                    reply = await asyncio.wait_for(
                        fleets.read_message(reader, is_response=True), 2.5)
                    if reply is None:
                        raise ConnectionError("closed")
                except (OSError, ConnectionError, asyncio.IncompleteReadError,
                        asyncio.TimeoutError) as error:
                    self.fleet.record.add("ended without an answer", request_id, repr(error))
                    # A connection that stays open was not closed without an answer.
                    if is_kept and not isinstance(error, asyncio.TimeoutError):
                        self.cut_requests.append(request_id)
                    writer.transport.abort()
                    break
                self.fleet.record.add("answered", request_id, reply.words[1])
                is_kept = True
                if reply.header("Connection").lower() == "close":
                    writer.transport.abort()
                    break
            await asyncio.sleep(0.05)


async def keep_running(fleet, router, ends):
    """Starts the router again whenever its process ends by itself."""
    while True:
        status = router.process.poll()
        if status is not None:
            ends.append((router.name, status))
            fleet.record.add("the process of", router.name, "ended by itself with", status)
            await asyncio.sleep(0.5)
            router.start()
        await asyncio.sleep(0.02)


async def play(fleet):
    await fleet.start_store()
    fleet.configure(5, [fleet.service("lookup", True), fleet.service("reserve", False)],
                    [fleet.path("/match/", "safe", "lookup"),
                     fleet.path("/hold/", "safe", "reserve")])
    zones = ("rennes", "brest", "vannes")
    for number in range(KEYED_BACKENDS):
        backend = GarblingBackend(fleet.address(), fleet.record, fleet.store, "lookup",
                                  f"i-{random.randrange(1 << 40):010x}", is_keyed=True,
                                  zone=zones[number % 3])
        backend.spoils = fleets.is_disturbed() and number < GARBLING_BACKENDS
        await backend.start()
        fleet.backends.append(backend)
    sound = [await fleet.add_backend("reserve", slots=30, work_s=0.1, zone=zone) for zone in zones]
    for zone in zones:
        fleet.add_router(zone).start(is_first_start=True)

    def all_keys_held():
        return all(any(b.holds_key(key) for b in fleet.backends)
                   for key in range(0, fleets.KEY_COUNT, 32))
    await fleet.wait_until(all_keys_held, 20, "all keys are held")
    for router in fleet.routers:
        await fleet.wait_until(router.is_ready, 10, "the routers are ready")
    clients = [Client(fleet, router, f"c{number}{router.zone}") for router in fleet.routers
               for number in range(CLIENTS_PER_ROUTER)]
    ends = []
    tasks = [asyncio.ensure_future(client.run()) for client in clients]
    tasks += [asyncio.ensure_future(keep_running(fleet, router, ends))
              for router in fleet.routers]
    await asyncio.sleep(5)
    leaving = fleet.backends[0]
    leaving.state = "draining"
    leaving.register()
    fleet.record.add(leaving.id, "reports draining; it goes on serving")
    await asyncio.sleep(WATCH_S)
    for task in tasks:
        task.cancel()
    ran = {run[0] for backend in sound for run in backend.runs}
    breaches = []
    for router in fleet.routers:  # The rule counts per machine.
        cuts = [i for client in clients if client.router is router
                for i in client.cut_requests if i in ran]
        if len(cuts) > MAX_CUTS:
            breaches.append(f"LOST: {router.name} had passed {len(cuts)} requests from kept "
                            "connections on to a sound backend and ended them without an "
                            f"answer; processes that ended by themselves: {ends}")
    return breaches


fleets.main(__file__, play)
