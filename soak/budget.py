"""Checks of the bounds on repeats, from what targets received.

Targets count independently of the nodes: each arrival beyond the first of a
request at a service is a repeat, whichever node sent it and why.
"""

import bisect
import collections

WINDOW_S, RATIO, EXTRA = 10.0, 0.2, 60
# Requests that may reach more targets than their route allows.
MAX_WIDE_REQUESTS = 3
# Tolerance of remaining times, and how late a repeat must be to count.
DEADLINE_SLACK_S = 0.5
LINK_CALM_S = 4.0
MAX_LONG_DEADLINES, MAX_LONG_SHARE = 20, 0.2


class Window:
    """The worst window of a service: repeats against what is allowed."""

    def __init__(self, service, end, repeats, allowed):
        self.service, self.end = service, end
        self.repeats, self.allowed = repeats, allowed

    def __str__(self):
        return (f"{self.service}: {self.repeats} repeats within {WINDOW_S:g} s"
                f", {self.allowed:.0f} allowed")


def by_service(arrivals, requests):
    """Times of repeats, and of requests, by service."""
    seen = set()
    repeats = collections.defaultdict(list)
    owed = collections.defaultdict(list)
    for arrival in arrivals:
        key = arrival.service, arrival.request_id
        if key in seen:
            repeats[arrival.service].append(arrival.at)
        seen.add(key)
    for request in sorted(requests.values(), key=lambda r: r.at):
        for service in request.services:
            owed[service].append(request.at)
    return repeats, owed


def allowed_at(owed, end):
    """Repeats allowed in the window that ends at the given time."""
    counts = []
    for back in (0, WINDOW_S / 2, WINDOW_S):
        counts.append(bisect.bisect_right(owed, end - back)
                      - bisect.bisect_right(owed, end - back - WINDOW_S))
    return RATIO * max(counts) + EXTRA


def worst_window(arrivals, requests):
    """The window that is fullest, over all services, or None."""
    repeats, owed = by_service(arrivals, requests)
    worst = None
    for service, times in repeats.items():
        for i, end in enumerate(times):
            count = i + 1 - bisect.bisect_right(times, end - WINDOW_S)
            allowed = allowed_at(owed[service], end)
            if not worst or (count * worst.allowed
                             > worst.repeats * allowed):
                worst = Window(service, end, count, allowed)
    return worst


def wide_requests(arrivals, requests, targets):
    """Ids of requests that ran on more targets of a shard than allowed.

    Targets that ended since do not count.
    """
    ran = collections.defaultdict(set)
    last = {}
    for arrival in arrivals:
        if arrival.ran:
            ran[arrival.service, arrival.request_id].add(arrival.target_id)
            last[arrival.request_id] = arrival.at
    wide = []
    for (_, request_id), ids in ran.items():
        request = requests.get(request_id)
        if not request or len(ids) <= request.max_attempts:
            continue
        sound = [i for i in ids if not any(
            request.at <= at <= last[request_id]
            for at in targets[i].ended)]
        if len(sound) > request.max_attempts:
            wide.append(request_id)
    return wide


def link_was_harmed(target, at):
    """Bytes may have been held up on the way to the target."""
    return any(start <= at <= end + LINK_CALM_S
               for start, end in target.link_faults)


def long_deadlines(arrivals, requests, targets):
    """(too long, counted) of the remaining times that targets were given."""
    first = {}
    too_long = late_repeats = 0
    for arrival in arrivals:
        request = requests.get(arrival.request_id)
        if not request or link_was_harmed(targets[arrival.target_id],
                                          arrival.at):
            continue
        key = arrival.service, arrival.request_id
        left = (None if arrival.remaining_ms is None
                else arrival.remaining_ms / 1000)
        bad = left is None or left > request.deadline_s + DEADLINE_SLACK_S
        if key not in first:
            first[key] = arrival.at, arrival.at + (left or 0)
        elif arrival.at - first[key][0] > DEADLINE_SLACK_S:
            late_repeats += 1
            limit = max(first[key][1], request.at + request.deadline_s)
            bad = bad or arrival.at + left > limit + DEADLINE_SLACK_S
        too_long += bad
    return too_long, max(late_repeats, too_long)


def violations(arrivals, requests, targets):
    """Texts of the bounds that were broken."""
    worst = worst_window(arrivals, requests)
    if worst and worst.repeats > worst.allowed:
        yield str(worst)
    wide = wide_requests(arrivals, requests, targets)
    if len(wide) > MAX_WIDE_REQUESTS:
        yield (f"{len(wide)} requests ran on more targets than their route "
               f"allows, {wide[0]} first")
    too_long, counted = long_deadlines(arrivals, requests, targets)
    if too_long > MAX_LONG_DEADLINES and too_long > MAX_LONG_SHARE * counted:
        yield f"{too_long} of {counted} requests were given too much time"
