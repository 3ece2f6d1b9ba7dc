"""Compares two scores for upstreams whose latency measurement is stale.

One upstream is slow for a while and then recovers. With the neutral score it gets
requests again once its latency is stale; if the last latency is kept, it remains
avoided. Time is simulated. Prints as its last line one JSON object.
"""

__all__ = ["main"]

import json
import random

import fire

from ragwortferry.document.snapshot import Service
from ragwortferry.requests import balance
from ragwortferry.source.port import Instance, InstanceChange
from ragwortferry.spread.members import Members

UPSTREAMS = 10
REQUESTS_PER_S = 53
SLOW_LATENCY_S, FAST_LATENCY_S = 1.0, 0.01
SLOW_UNTIL_S = 10.0
END_S = 60.0
NEVER_STALE_S = float("inf")


class _Clock:
    """A simulated clock."""

    now = 100.0

    def __call__(self) -> float:
        return self.now


def _members() -> tuple[Members, Service]:
    names = tuple(f"i-{number}" for number in range(UPSTREAMS))
    items = [Instance(name, "zone-a", "north", "127.0.0.1", 1, 2, 3) for name in names]
    members = Members(Instance("me", "zone-a", "north", "127.0.0.1", 1, 2, 3), 4, 2)
    members.apply(InstanceChange(1, True, items, []))
    return members, Service("tablero", "boards", names, 20, 130, 40, 0.0)


def _simulate(max_age_s: float, seed: int) -> dict[str, float]:
    """Return the share of requests of the recovered upstream and the mean latency.

    Both cover the time after the recovery.

    :param max_age_s: age at which a latency is stale.
    """
    clock, original_age_s = _Clock(), balance.MAX_LATENCY_AGE_S
    members, service = _members()
    balancer = balance.Balancer(members, random.Random(seed), clock)
    balance.MAX_LATENCY_AGE_S = max_age_s
    start, chosen, total, count = clock.now, 0, 0.0, 0
    pending: list[tuple[float, str, float]] = []
    try:
        for number in range(int(REQUESTS_PER_S * END_S)):
            clock.now = start + number / REQUESTS_PER_S
            for item in [item for item in pending if item[0] <= clock.now]:
                pending.remove(item)
                balancer.record_end(item[1])
                balancer.record_response(item[1], item[2])
            elapsed = clock.now - start
            name = balancer.pick(service, ()).id
            slow = name == "i-0" and elapsed < SLOW_UNTIL_S
            latency = SLOW_LATENCY_S if slow else FAST_LATENCY_S
            balancer.record_start(name)
            pending.append((clock.now + latency, name, latency))
            if elapsed > SLOW_UNTIL_S:
                chosen += name == "i-0"
                total += latency
                count += 1
    finally:
        balance.MAX_LATENCY_AGE_S = original_age_s
    return {
        "share_percent": round(100 * chosen / count, 2),
        "mean_ms": round(1000 * total / count, 2),
    }


def main(seed: int = 1) -> None:
    """Run the comparison.

    :param seed: seed of the random choices
    """
    found = {
        "neutral": _simulate(balance.MAX_LATENCY_AGE_S, seed),
        "kept": _simulate(NEVER_STALE_S, seed),
        "even_share_percent": 100 / UPSTREAMS,
    }
    print(json.dumps({"seed": seed, **found}))


if __name__ == "__main__":
    fire.Fire(main)
