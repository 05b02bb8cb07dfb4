"""A keyed backend is cut off from the routers while a row of another writer names its address."""

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import fleet as fleets  # noqa: E402

BACKENDS = 12
CUT_S = 5.5
MAX_OVERLAP_S = 0.5


def overlaps(backends, now):
    """Returns (first key, last key, holder, other holder, seconds) of overlaps until now."""
    found = []
    for one in backends:
        for other in backends:
            if one is other:
                continue
            for first, last, since, until, _ in one.holds:
                for first2, last2, since2, until2, _ in other.holds:
                    if first2 > last or last2 < first or not since <= since2 < until:
                        continue
                    released = [at for f, l, at in one.releases
                                if f <= first and l >= last and since <= at]
                    end = min([until, until2, now] + released)
                    if end - since2 > MAX_OVERLAP_S:
                        found.append((first, last, one.id, other.id, end - since2))
    return found


async def play(fleet):
    await fleet.start_store()
    fleet.configure(5, [fleet.service("lookup", True)],
                    [fleet.path("/match/", "safe", "lookup")])
    for zone in ("rennes", "brest", "vannes") * (BACKENDS // 3):
        await fleet.add_backend("lookup", is_keyed=True, zone=zone)
    for zone in ("rennes", "brest"):
        fleet.add_router(zone).start(is_first_start=True)

    def all_keys_held():
        return all(any(b.holds_key(key) for b in fleet.backends)
                   for key in range(0, fleets.KEY_COUNT, 32))
    await fleet.wait_until(all_keys_held, 20, "all keys are held")
    await fleet.wait_until(fleet.routers[0].is_ready, 10, "the first router is ready")
    await asyncio.sleep(6)
    victim = fleet.backends[0]
    if os.environ.get("FOREIGN", "1") != "0":
        entry = victim.entry()
        entry.update(service="inventory-agent", born=victim.born + 5000, seq=1)
        fleet.store.put("servers", "agent-1", entry)
        fleet.record.add("another writer puts servers/agent-1", entry)
    await asyncio.sleep(4)
    if fleets.is_disturbed():
        fleet.record.add("cut off", victim.id, "at", victim.endpoint)
        victim.cut_off()
    until = fleet.record.now() + CUT_S
    while fleet.record.now() < until:
        key = random.randrange(fleets.KEY_COUNT)
        await fleet.send(fleet.routers[0], "GET", "/match/a", key=key)
        await asyncio.sleep(0.02)
    found = overlaps(fleet.backends, fleet.record.now())
    for first, last, one, other, seconds in found[:20]:
        fleet.record.add("keys", first, "to", last, "held by", one, "and", other,
                         f"for {seconds:.2f} s")
    if not found:
        return []
    return [f"OWNER: {len(found)} ranges of keys were held by two backends for over "
            f"{MAX_OVERLAP_S} s, the longest for {max(f[4] for f in found):.2f} s"]


fleets.main(__file__, play)
