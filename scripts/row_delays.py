#!/usr/bin/env python3
"""Shows how late each host used the store's rows, from the hosts' logs.

Reads JSON log lines of all hosts, also such with a prefix, from files or
standard input. For each change (a server that drains, an entry that is gone, a
version of the routes) and each host that was running, the delay is the time
from the first host's use to this host's. The upper bound counts from a time
after which the store is known to have accepted the change, by event 913: any
host's copy was up to date without it then, or the first host states so.
"""

import argparse
import bisect
import collections
import datetime
import json
import sys

EVENT_START = '{"time"'
PROCESS_STARTED = 100
ROUTES_IN_FORCE = 900
BACKEND_KNOWN = 902
BACKEND_GONE = 903
LOOP_LATE = 918
REQUEST_SENT = (300, 306)
TABLE_UPDATED = 913
KEEPER_ROLE = 800


def parse_objects(line):
    """Yields the events in a line, which may hold several, or parts of one."""
    decoder = json.JSONDecoder()
    start = line.find(EVENT_START)
    while start >= 0:
        try:
            event, _ = decoder.raw_decode(line, start)
            if "event" in event and "host" in event:
                yield event
        except json.JSONDecodeError:
            pass
        start = line.find(EVENT_START, start + 1)


def parse_lines(files):
    """Yields the events of all files."""
    for file in files:
        for line in file:
            for event in parse_objects(line):
                time = datetime.datetime.fromisoformat(
                    event["time"].replace("Z", "+00:00"))
                event["at_ms"] = time.timestamp() * 1000
                yield event


class Change:
    """One change of the store's rows, and when each host used it."""

    def __init__(self, table):
        self.table = table
        self.used_at = {}  # Milliseconds by host.
        self.source = {}  # How the host received it, by host.
        self.min_version = None  # The lowest that the row can have.
        self.accepted_after = 0  # As the hosts state it.

    def add(self, host, at_ms, batch, min_version):
        """Records the first use of the change by the host."""
        if host in self.used_at:
            return
        self.used_at[host] = at_ms
        self.source[host] = batch.get("source", "")
        if batch.get("new_rows", 0) > 0:
            self.accepted_after = max(self.accepted_after,
                                      at_ms - batch["max_delay_ms"])
        versions = [v for v in (self.min_version, min_version) if v is not None]
        self.min_version = max(versions, default=None)


class Copies:
    """The versions of a table that hosts had, and as of when."""

    def __init__(self):
        self.copies = []  # (version, milliseconds)

    def add(self, version, as_of_ms):
        """Records that a copy of that version was up to date at that time."""
        self.copies.append((version, as_of_ms))

    def latest_before(self, version):
        """Returns the latest time at which a copy was older than the version."""
        if not hasattr(self, "latest"):
            self.copies.sort()
            self.latest = []
            for _, as_of in self.copies:
                last = self.latest[-1] if self.latest else as_of
                self.latest.append(max(last, as_of))
        index = bisect.bisect_left(self.copies, (version,))
        return self.latest[index - 1] if index else None


class Hosts:
    """What the hosts state of themselves: their copies at a version, their
    loops, and the age of the servers' table when they sent requests."""

    def __init__(self):
        self.digests = collections.defaultdict(set)  # By table and version.
        self.loop_delays = []  # (milliseconds, host)
        self.sent_ages = []  # (milliseconds, host)

    def add(self, event):
        """Records what the event states."""
        if event["event"] == TABLE_UPDATED and "digest" in event:
            version = event["store_epoch"], event["store_version"]
            self.digests[event["table"], version].add(event["digest"])
        elif event["event"] == LOOP_LATE:
            self.loop_delays.append((event["late_ms"], event["host"]))
        elif event["event"] in REQUEST_SENT and "sent_age_us" in event:
            self.sent_ages.append((event["sent_age_us"] / 1000, event["host"]))

    def report(self):
        """Prints them."""
        unequal = [name for name, digests in self.digests.items()
                   if len(digests) > 1]
        print(f"versions known: {len(self.digests)}; on which hosts differ:",
              len(unequal), *unequal[:3])
        for what, values in (("loops late", self.loop_delays),
                             ("copies when requests were sent",
                              self.sent_ages)):
            values.sort()
            longest = " ".join(f"{ms:.0f} ({host})"
                               for ms, host in values[-3:])
            print(f"{what}: {len(values)}, longest in ms {longest}")


def collect(events):
    """Returns the changes, the copies, the starts of the hosts, the
    coordinators, the end, and what the hosts state of themselves."""
    hosts = Hosts()
    changes = {}
    copies = collections.defaultdict(Copies)
    started = {}
    batches = collections.defaultdict(dict)
    last_versions = {}  # Before the latest batch, by host and table.
    coordinators = []
    draining = set()
    end = 0

    def use(kind, name, table, event, version):
        key = event["host"], table
        change = changes.setdefault((kind, name), Change(table))
        change.add(event["host"], event["at_ms"], batches[key], version)

    for event in events:
        host, at_ms, number = event["host"], event["at_ms"], event["event"]
        end = max(end, at_ms)
        hosts.add(event)
        if number == PROCESS_STARTED:
            started[host] = at_ms
        elif number == KEEPER_ROLE and event.get("role") == "active":
            coordinators.append(host)
        elif number == TABLE_UPDATED:
            table = event["table"]
            last = batches[host, table].get("store_version")
            last_versions[host, table] = last
            batches[host, table] = event
            copies[table].add(event["store_version"], at_ms - event["age_ms"])
        elif number == ROUTES_IN_FORCE:
            use("routes", event["version"], "op", event, event["store_version"])
        elif number == BACKEND_KNOWN and event["state"] == "draining":
            draining.add((host, event["server"]))
            use("draining", event["server"], "servers", event,
                event["store_version"])
        elif number == BACKEND_GONE:
            if (host, event["server"]) not in draining:
                last = last_versions.get((host, "servers"))
                use("gone", event["server"], "servers", event,
                    None if last is None else last + 1)
    return changes, copies, started, coordinators, end, hosts


def percentile(values, share):
    """Returns the value below which that share of the sorted values lies."""
    return values[min(len(values) - 1, int(share * len(values)))]


def report(logs, bound_ms, show):
    """Prints the delays by kind of change, and the latest hosts."""
    changes, copies, started, coordinators, end, stated = logs
    late = []
    delays = collections.defaultdict(list)
    uppers = collections.defaultdict(list)
    missing = collections.Counter()
    for (kind, name), change in changes.items():
        # A change that a single host logged is one that others saw otherwise,
        # as a server that drained before they started.
        if len(change.used_at) * 2 < len(started):
            continue
        first = min(change.used_at.values())
        accepted_after = change.accepted_after
        if change.min_version is not None:
            latest = copies[change.table].latest_before(change.min_version)
            accepted_after = max(accepted_after, latest or 0)
        accepted_after = min(first, accepted_after) or first
        for host, host_start in started.items():
            if host_start > first:
                continue
            if host not in change.used_at:
                if end - first > bound_ms:
                    missing[kind, host] += 1
                continue
            delay = change.used_at[host] - first
            upper = change.used_at[host] - accepted_after
            delays[kind].append(delay)
            uppers[kind].append(upper)
            late.append((upper, delay, kind, name, host,
                         change.source[host]))
    print("kind, uses, delay from the first host's use: p50 p99 longest;"
          " upper bound from the acceptance: p99 longest (ms)")
    for kind, values in sorted(delays.items()):
        values.sort()
        bounds = sorted(uppers[kind])
        print(f"{kind} {len(values)} {percentile(values, 0.5):.0f} "
              f"{percentile(values, 0.99):.0f} {values[-1]:.0f}; "
              f"{percentile(bounds, 0.99):.0f} {bounds[-1]:.0f}")
    print("coordinators in turn:", " ".join(coordinators))
    if missing:
        print("not found in the log of a running host (its line may be cut):",
              ", ".join(f"{host} {kind} {count}"
                        for (kind, host), count in missing.most_common(show)))
    stated.report()
    over = [entry for entry in late if entry[0] > bound_ms]
    hosts = sorted({entry[4] for entry in over})
    print(f"upper bounds over {bound_ms:.0f} ms: {len(over)}, on "
          f"{len(hosts)} hosts:", " ".join(hosts[:show]))
    for upper, delay, kind, name, host, source in sorted(late)[-show:]:
        print(f"  {upper:.0f} ({delay:.0f}) {kind} {name} {host} {source}")
    return len(over)


def main():
    """Reads the logs and prints the report; fails if a host was too late."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="*", help="logs; standard input if none")
    parser.add_argument("--bound", type=float, default=2000, metavar="MS",
                        help="count the delays over this (default: 2000)")
    parser.add_argument("--show", type=int, default=8, metavar="N",
                        help="how many of the latest uses to list (default: 8)")
    options = parser.parse_args()
    files = [open(name, encoding="utf-8", errors="replace")
             for name in options.files] or [sys.stdin]
    over = report(collect(parse_lines(files)), options.bound, options.show)
    sys.exit(1 if over else 0)


if __name__ == "__main__":
    main()
