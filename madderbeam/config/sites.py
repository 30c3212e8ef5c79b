"""The federation as plain data, from what a person wrote: the first table, and each courier's section."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

from madderbeam.config import model as m
from madderbeam.config.addresses import split_address
from madderbeam.config.report import Loaded

if TYPE_CHECKING:
    from madderbeam.federation.values import Table

FIRST = 1  # the number of the table that is made from a file
TIMES = (
    "probe_period_ms",
    "probe_timeout_ms",
    "indirect_probes",
    "suspicion_alpha",
    "suspicion_beta",
    "exchange_period_ms",
)
PLAIN = ("lease_ms", "lease_drift_ppm", "agree_within_ms", "wait_told_ms", "share")
BACKLOG = 0.5, 0.25  # default parts of max_held and disk_mb


def member(app: m.Application) -> str:
    """Which member of its site an application is."""
    return app.member or app.name


def site(partner: m.Partner, estate: m.Estate) -> str:
    """The site that serves a partner by the first table."""
    assert estate.federation is not None
    return partner.site or estate.federation.site


def first_table(estate: m.Estate, partners: m.Partners) -> Table:
    """The table that all sites begin with: the same at all of them if their text is."""
    from madderbeam.federation.values import MemberRow, Table

    sites = {
        s.name: tuple(
            MemberRow(row.name, split_address(row.address) or ("", 0), row.votes)
            for row in sorted(s.member, key=lambda row: row.name)
        )
        for s in estate.site
    }
    return Table(FIRST, sites, {p.number: site(p, estate) for p in partners.partner})


def backlog(told: m.Federation, app: m.Application) -> tuple[int, float]:
    """Messages and megabytes that a courier holds for other sites."""
    messages = told.backlog_messages or int(app.max_held * BACKLOG[0])
    return messages, told.backlog_mb or app.disk_mb * BACKLOG[1]


def first_line(loaded: Loaded) -> str:
    """The first table in a line, by which operators of several sites compare theirs."""
    told, table = loaded.estate.federation, first_table(loaded.estate, loaded.partners)
    assert told is not None
    members = sum(len(rows) for rows in table.sites.values())
    return (
        f"federation {told.name}: first table {table.digest} ({len(table.sites)} sites, "
        f"{members} members, {len(table.voters)} voters, {len(table.owners)} partners): "
        "compare it with other sites'"
    )


def section(loaded: Loaded, app: m.Application) -> dict[str, Any]:
    """What an application's courier is told of the federation (config/federation.py reads it)."""
    told = loaded.estate.federation
    assert told is not None
    me = f"{told.site}/{member(app)}"
    rows = {f"{s.name}/{row.name}": row.address for s in loaded.estate.site for row in s.member}
    file = {"table_file": os.path.realpath(loaded.folder / told.table_file)} if told.table_file else {}
    return {
        "name": told.name,
        "site": told.site,
        "member": member(app),
        "listen": app.mesh_listen or rows[me],
        "seeds": [[name, rows[name]] for name in sorted(rows) if name != me],
        "via": {name: address for name, address in sorted(app.via.items()) if name != me},
        "table": first_table(loaded.estate, loaded.partners).document(),
        **file,
        **{name: getattr(told, name) for name in PLAIN},
        "backlog_messages": backlog(told, app)[0],
        "backlog_bytes": int(backlog(told, app)[1] * 1e6),
        "times": {name: getattr(told, name) for name in TIMES},
    }
