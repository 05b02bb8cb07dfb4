"""Checks of the invariants on what the callers and the backend servers observed. Each returns the violations."""

import collections

from callers import NOT_RUN


def read_server_logs(deployment):
    """Returns the runs by request id, as (time, key, incarnation), the leases and the grants, from the stand-ins' logs.

    Grants whose time had already elapsed are left out. An incarnation, (id, start time), is one process of a
    server. Times are in microseconds."""
    runs = collections.defaultdict(list)
    leases = []                   # (first, last, from, until, incarnation)
    grants = []                   # (time, first, last, token, incarnation)
    for server in deployment.all_servers:
        for server_id, started_ms, path in server.logs:
            incarnation = (server_id, started_ms)
            open_leases = {}
            for line in path.read_text(errors="replace").splitlines():
                fields = line.split()
                if fields[:1] == ["run"] and len(fields) == 4:
                    runs[fields[2]].append((int(fields[1]), int(fields[3]), incarnation))
                elif fields[:1] == ["hold"] and len(fields) == 6:
                    keys = (int(fields[2]), int(fields[3]))
                    now, duration = int(fields[1]), int(fields[5])
                    if duration > 0:
                        grants.append((now, *keys, int(fields[4]), incarnation))
                    start, until = open_leases.get(keys, (now, now))
                    if until < now:
                        leases.append((*keys, start, until, incarnation))
                        start = now
                    open_leases[keys] = (start, now + duration)
                elif fields[:1] == ["release"] and len(fields) == 5:
                    keys = (int(fields[2]), int(fields[3]))
                    if keys in open_leases:
                        start, until = open_leases.pop(keys)
                        leases.append((*keys, start, min(until, int(fields[1])), incarnation))
            leases += [(*keys, start, until, incarnation) for keys, (start, until) in open_leases.items()]
    return runs, leases, grants


def check_fiber_failures(logs):
    """The processes' logs hold no event of an exception that nothing caught."""
    return [f"{log.name}: {line.strip()}" for log in logs
            for line in log.read_text(encoding="utf-8", errors="replace").splitlines()
            if '"fiber-failed"' in line]


def check_responses(requests):
    return [f"{r.kind} request {r.id} to {r.service} at {r.router}: {r.problem}" for r in requests if r.problem]


def check_executions(requests, runs):
    """Requests that are not idempotent run at most once, and not at all if the response says so."""
    violations = []
    sent_ids = {r.id for r in requests}
    violations += [f"request {i} was run but never sent" for i in runs if i not in sent_ids]
    for request in requests:
        if request.kind != "unsafe":
            continue
        times = len(runs.get(request.id, []))
        if times > 1:
            violations.append(f"request {request.id} is not idempotent but ran {times} times")
        if times and request.outcome in NOT_RUN:
            violations.append(f"request {request.id} ran but the response was {request.outcome}")
    return violations


def overlapping_leases(leases, killed_at):
    """Yields the leases that two incarnations hold at the same time, as (first, last, from, until, one, other).

    killed_at: when each incarnation was killed, which ends its leases."""
    by_range = collections.defaultdict(list)
    for first, last, start, until, incarnation in leases:
        until = min(until, killed_at.get(incarnation, until))
        by_range[(first, last)].append((start, until, incarnation))
    for keys, spans in by_range.items():
        spans.sort()
        for i, (_, until, incarnation) in enumerate(spans):
            for other_start, other_until, other in spans[i + 1:]:
                if other_start >= until:
                    break
                if other != incarnation:
                    yield (*keys, other_start, min(until, other_until), incarnation, other)


def check_single_holder(leases, killed_at):
    """No two incarnations hold a lease on a key at the same time."""
    ranges = sorted({(first, last) for first, last, *_ in leases})
    violations = [f"keys {a} and {b} overlap, which this check does not compare"
                  for a, b in zip(ranges, ranges[1:]) if b[0] <= a[1]]
    violations += [f"keys {first}-{last} were held by {one} and {other} for {end - begin} us from {begin}"
                   for first, last, begin, end, one, other in overlapping_leases(leases, killed_at)]
    return violations


def check_single_owner(runs, leases, killed_at):
    """No two incarnations run requests for a key while both hold a lease on it."""
    violations = []
    run_list = [(at, key, incarnation) for entries in runs.values() for at, key, incarnation in entries]
    for first, last, begin, end, one, other in overlapping_leases(leases, killed_at):
        both = {owner for at, key, owner in run_list
                if first <= key <= last and begin <= at <= end and owner in (one, other)}
        if len(both) == 2:
            violations.append(f"keys {first}-{last} were served by {one} and {other} within {end - begin} us")
    return violations


def check_rising_tokens(grants):
    """An incarnation that is granted keys has a higher token than the others that were granted them before."""
    violations = []
    highest = collections.defaultdict(dict)   # (first, last) -> incarnation -> token
    for at, first, last, token, incarnation in sorted(grants):
        tokens = highest[(first, last)]
        for other, other_token in tokens.items():
            if other != incarnation and token <= other_token:
                violations.append(f"keys {first}-{last} were granted to {incarnation} with token {token} at {at}, "
                                  f"after {other} had them with {other_token}")
        tokens[incarnation] = max(token, tokens.get(incarnation, token))
    return violations


def check_deadly_request(requests, runs, disturbed, sharing_time_s):
    """Once three processes have ended under a request and the routers had time to share this, it is sent at most thrice.

    requests: its repetitions. disturbed: (router, from, until) of the times in which a router need not know of it."""
    ends = {}                     # incarnation -> the time of its first run
    for at, _, incarnation in sorted(run for request in requests for run in runs.get(request.id, [])):
        ends.setdefault(incarnation, at)
    if len(ends) < 3:
        return []
    shared_at = sorted(ends.values())[2] / 1e6 + sharing_time_s
    late = [r for r in requests if r.written_at and r.written_at > shared_at and runs.get(r.id)
            and not any(r.router == router and begin <= r.written_at <= end for router, begin, end in disturbed)]
    if len(late) <= 3:
        return []
    return [f"the deadly request was sent to servers {len(late)} times more, first as {late[0].id} by {late[0].router}"]


def check_graceful_stops(requests, runs, undisturbed_stops):
    """A router that stops without any other fault completes the requests that a server runs.

    undisturbed_stops: (router, from, until) of these stops."""
    violations = []
    for request in requests:
        if request.outcome != "closed" or request.written_at is None or not runs.get(request.id):
            continue
        for router, begin, end in undisturbed_stops:
            if request.router == router and begin <= request.ended_at <= end:
                violations.append(f"request {request.id} was cut off by the stop of {router}")
    return violations


def check_recovery(requests, since):
    """At least 90 % of the requests are served after the recovery time."""
    recent = [r for r in requests if r.written_at and r.written_at >= since]
    served = [r for r in recent if r.outcome == 200]
    if recent and len(served) >= 0.9 * len(recent):
        return []
    outcomes = collections.Counter(str(r.outcome) for r in recent)
    return [f"after the recovery time only {len(served)} of {len(recent)} requests were served: {dict(outcomes)}"]
