"""News and the returning partner among 50 couriers in virtual time (tests/shared/site_net.py), with sharing
and without, on the same scenes; run by bench/shared.py."""

from __future__ import annotations

import statistics
import sys
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parents[1] / "tests" / "shared")]

from site_net import SETTINGS, ModelPartner, S, SiteNetwork, settled  # noqa: E402

from madderbeam.shared.values import Finding, FindingKind, LocalFinding  # noqa: E402

MEMBERS, EACH = 50, 4.0  # messages a second of each courier


def _town(base, seed, share, capacity, each=EACH, calm_s=4):
    town = SiteNetwork(base, seed, share, [each] * MEMBERS, ModelPartner(capacity))
    town.run(calm_s * S)
    return town


def _calls(base, seed, share, mode, span_s):
    """Calls while it is out, hangs or is shut; of these in the first second; when it answered again."""
    town = _town(base, seed, share, 2 * MEMBERS * EACH)
    partner, at = town.partner, town.now
    partner.mode, partner.wait_us = mode, at + span_s * S
    town.run(span_s * S)
    during = [t for t, _ in partner.calls if at <= t < at + span_s * S]
    partner.returns(town.now)
    town.run(4 * S)
    again = [t for t in partner.answers if t >= partner.back_us]
    return len(during), sum(t < at + S for t in during), (min(again) - partner.back_us) / S


def calls(seeds=20):
    base = settled(MEMBERS)
    for mode, span_s in (("out", 8), ("hang", 8), ("wait", 3)):
        rows = [[_calls(base, seed, share, mode, span_s) for seed in range(seeds)] for share in (False, True)]
        without, shared = ([sum(column) for column in zip(*row, strict=True)] for row in rows)
        print(
            f"{mode} for {span_s} s, {seeds} seeds, calls: {without[0]} without, {shared[0]} with "
            f"({without[0] / max(1, shared[0]):.1f} times fewer); of these in the first second "
            f"{without[1]}, {shared[1]}; answered again after {without[2] / seeds:.2f} s, "
            f"{shared[2] / seeds:.2f} s",
            flush=True,
        )


def know(times=100):
    """From one courier's word to all others heeding it: told at once, and with the probes alone."""
    town = _town(settled(MEMBERS), 1, True, 1000, each=0.0)
    ids = list(town.couriers)
    for kind in (FindingKind.RETRY_AFTER, FindingKind.TABLE_FULL):
        spans = []
        for n in range(times):
            for courier in town.couriers.values():
                courier.heeds.clear()
            town.run(town.chance.randrange(S))
            at, me = town.now, ids[n % MEMBERS]
            span = (60 if kind is FindingKind.RETRY_AFTER else 10) * S + n  # its own
            town.couriers[me].tell_news(LocalFinding(Finding(kind, 1, "p-1", span)))
            town.run(30 * S if kind is FindingKind.TABLE_FULL else 2 * S)
            town.couriers[me].tell_news(LocalFinding(Finding(kind, 1, "p-1", 0)))
            heard = [
                min((t for t, news in c.heeds if news.kind is kind), default=None)
                for m, c in town.couriers.items()
                if m != me
            ]
            spans += [((max(heard) - at) / S) if None not in heard else float("inf")]
            town.run(15 * S)
        spans.sort()
        print(
            f"{kind.value}: all {MEMBERS - 1} others know after {statistics.median(spans):.3f} s (median), "
            f"{spans[int(0.99 * times)]:.3f} s (99th percentile of {times})",
            flush=True,
        )


def sent():
    """Bytes a second a member: membership alone, and with news while a partner goes out and comes back."""
    for members in (5, 20, 50, 100):
        base, found = settled(members, settle_s=40), []
        for share in (False, True):
            rates = [200 / members] * members
            town = SiteNetwork(base, 1, share, rates, ModelPartner(400))
            town.run(5 * S)
            town.net.bytes, at = 0, town.now
            for _ in range(3):
                town.partner.mode = "out"
                town.run(8 * S)
                town.partner.returns(town.now)
                town.run(12 * S)
            found.append(town.net.bytes / members / ((town.now - at) / S))
        print(
            f"{members:4} members, 8 s of each 20 s an outage: {found[1]:5.0f} bytes a second a member, "
            f"{found[0]:5.0f} without news: {found[1] - found[0]:4.0f} more",
            flush=True,
        )


def _return(base, seed, share, load, each):
    """Whether it fell, and seconds until it answers as much as comes in."""
    town = _town(base, seed, share, MEMBERS * each / load, each)
    partner = town.partner
    partner.mode = "out"
    town.run(town.chance.randrange(4 * S, 8 * S))
    partner.returns(town.now)
    town.run(SETTINGS.warm_up_us)
    if partner.fell_us >= 0:
        return True, float("inf")
    since = [(t - partner.back_us) // S for t in partner.answers]
    warm = [second for second in range(12) if since.count(second) >= 0.9 * MEMBERS * each]
    return False, float(min(warm, default=12) + 1)


def returns(first=0, seeds=1000, load=0.9, each=EACH):
    """A partner that so many messages a second of each courier fill to this part, cold after its return.
    Told every ten seeds."""
    base, rows = settled(MEMBERS), {False: [], True: []}
    print(f"load {load:.0%}, {each} a second each", flush=True)
    for seed in range(first, first + seeds):
        for share, found in rows.items():
            found.append(_return(base, seed, share, load, each))
        if (seed - first) % 10 < 9:
            continue
        for share, found in rows.items():
            warm = sorted(seconds for _, seconds in found)
            print(
                f"seeds {first} to {seed}, {'with' if share else 'without'}: {sum(f for f, _ in found)} of "
                f"{len(found)} fell; warm after {statistics.median(warm)} s (median), "
                f"{warm[int(0.99 * len(found))]} s (99th percentile)",
                flush=True,
            )
