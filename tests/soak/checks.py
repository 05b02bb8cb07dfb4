"""What must hold, by what callers and backend servers saw."""

import collections

from callers import NOT_RUN



def read_servers(deployment):
    """Returns runs by request id, and the holds and runs of each life of a server by key range."""
    runs = collections.defaultdict(list)
    holds = []                    # (first, last, from, until, life)
    for server in deployment.servers:
        for server_id, born, path in server.logs:
            life = (server_id, born)
            open_holds = {}
            for line in path.read_text(errors="replace").splitlines():
                words = line.split()
                if words[:1] == ["run"] and len(words) == 4:
                    runs[words[2]].append((int(words[1]), int(words[3]), life))
                elif words[:1] == ["hold"] and len(words) == 6:
                    keys = (int(words[2]), int(words[3]))
                    now, length = int(words[1]), int(words[5])
                    start, until = open_holds.get(keys, (now, now))
                    if until < now:
                        holds.append((*keys, start, until, life))
                        start = now
                    open_holds[keys] = (start, now + length)
                elif words[:1] == ["release"] and len(words) == 5:
                    keys = (int(words[2]), int(words[3]))
                    if keys in open_holds:
                        start, until = open_holds.pop(keys)
                        holds.append((*keys, start, min(until, int(words[1])), life))
            holds += [(*keys, start, until, life) for keys, (start, until) in open_holds.items()]
    return runs, holds


def check_answers(requests):
    return [f"{r.kind} request {r.id} to {r.service} at {r.router}: {r.problem}" for r in requests if r.problem]


def check_runs(requests, runs):
    """At most once, "not run" is true, and nothing that nobody asked for."""
    found = []
    known = {r.id for r in requests}
    found += [f"request {i} was run and never sent" for i in runs if i not in known]
    for request in requests:
        if request.kind != "unsafe":
            continue
        times = len(runs.get(request.id, []))
        if times > 1:
            found.append(f"request {request.id} is not idempotent and ran {times} times")
        if times and request.outcome in NOT_RUN:
            found.append(f"request {request.id} ran and was answered {request.outcome}")
    return found


def check_owners(runs, holds, ends):
    """No two lives hold a key at a time and both run requests for it in that time.

    ends: when each life of a server was killed, as a dead one holds nothing."""
    found = []
    ranges = sorted({(first, last) for first, last, *_ in holds})
    found += [f"keys {a} and {b} overlap, which this check does not compare"
              for a, b in zip(ranges, ranges[1:]) if b[0] <= a[1]]
    by_range = collections.defaultdict(list)
    for first, last, start, until, life in holds:
        until = min(until, ends.get(life, until))
        by_range[(first, last)].append((start, until, life))
    run_list = [(at, key, life) for entries in runs.values() for at, key, life in entries]
    for (first, last), spans in by_range.items():
        spans.sort()
        for i, (start, until, life) in enumerate(spans):
            for other_start, other_until, other in spans[i + 1:]:
                if other_start >= until:
                    break
                if other == life:
                    continue
                begin, end = other_start, min(until, other_until)
                both = {l for at, key, l in run_list if first <= key <= last and begin <= at <= end and l in (life, other)}
                if len(both) == 2:
                    found.append(f"keys {first}-{last} were served by {life} and {other} within {end - begin} us")
    return found


def check_stops(requests, runs, quiet_stops):
    """A router that is stopped while nothing else is wrong cuts off no request that a server runs.

    quiet_stops: (router, from, until) of such stops."""
    found = []
    for request in requests:
        if request.outcome != "closed" or request.written_at is None or not runs.get(request.id):
            continue
        for router, begin, end in quiet_stops:
            if request.router == router and begin <= request.ended_at <= end:
                found.append(f"request {request.id} was cut off by the stop of {router}")
    return found


def check_recovery(requests, since):
    """Once all faults are over, requests are served."""
    late = [r for r in requests if r.written_at and r.written_at >= since]
    served = [r for r in late if r.outcome == 200]
    if late and len(served) >= 0.9 * len(late):
        return []
    outcomes = collections.Counter(str(r.outcome) for r in late)
    return [f"after all faults only {len(served)} of {len(late)} requests were served: {dict(outcomes)}"]
