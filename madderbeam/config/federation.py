"""The federation as a rendered file tells it to a courier: read only where there is one."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, fields
from typing import Any

from madderbeam.federation import table as tables
from madderbeam.federation.errors import TableUnfit
from madderbeam.federation.values import Table
from madderbeam.membership.values import MAX_NAME_CHARS, Address, MemberId

PLACES_MOST = 20_000  # seeds, and addresses to go by


class FederationUnfit(ValueError):
    """A value that lacks or is wrong; the text is one line that names its field."""


@dataclass(frozen=True)
class Times:
    """How members watch each other."""

    probe_period_ms: int = 1_000
    probe_timeout_ms: int = 500
    indirect_probes: int = 3  # members that try a probe which was not answered
    suspicion_alpha: float = 5.0  # shortest suspicion: so many periods, times log10 of the members
    suspicion_beta: float = 6.0  # longest: times the shortest
    exchange_period_ms: int = 30_000  # of whole states


@dataclass(frozen=True)
class Federation:
    """Who this courier is in the federation, how it reaches the others, and its bounds."""

    name: str
    site: str
    member: str
    listen: Address  # datagrams and streams of other members
    seeds: tuple[tuple[MemberId, Address], ...]  # the others, as all sites know them
    via: dict[MemberId, Address]  # at which they are reached from here, where that differs
    table: Table  # the first one; what a member has on its disk counts before it
    table_file: str = ""  # proposed at SIGHUP; "": none
    lease_ms: int | None = None  # None: no leases
    lease_drift_ppm: int = 200
    agree_within_ms: int = 60_000
    backlog_messages: int = 200  # publications held for other sites, all together
    backlog_bytes: int = 8_000_000  # of their bodies
    wait_told_ms: int = 2_000  # where a site is away or a destination changes hands
    times: Times = Times()
    share: bool = False  # what one courier of the site learns all heed, and partners' rates are leased

    @property
    def id(self) -> MemberId:
        return MemberId(self.site, self.member)

    def address(self, member: MemberId) -> Address | None:
        """Where a member is reached from here, by this file alone."""
        return self.via.get(member) or dict(self.seeds).get(member)


def read(raw: Any, field: str = "federation") -> Federation:
    """A rendered section; FederationUnfit in one line if it can't be used."""
    value = _mapping(raw, field)
    unknown = sorted(set(value) - {f.name for f in fields(Federation)})
    if unknown:
        raise FederationUnfit(f"{field}.{unknown[0]}: no such field")
    found = Federation(
        name=_name(value.get("name"), f"{field}.name"),
        site=_name(value.get("site"), f"{field}.site"),
        member=_name(value.get("member"), f"{field}.member"),
        listen=_address(value.get("listen"), f"{field}.listen"),
        seeds=tuple(_places(value.get("seeds", []), f"{field}.seeds")),
        via=dict(_places(_mapping(value.get("via", {}), f"{field}.via").items(), f"{field}.via")),
        table=_table(value.get("table"), f"{field}.table"),
        table_file=_text(value.get("table_file", ""), f"{field}.table_file"),
        lease_ms=None if value.get("lease_ms") is None else _whole(value["lease_ms"], f"{field}.lease_ms"),
        lease_drift_ppm=_whole(
            value.get("lease_drift_ppm", Federation.lease_drift_ppm), f"{field}.lease_drift_ppm", least=0
        ),
        share=_flag(value.get("share", False), f"{field}.share"),
        times=_times(value.get("times", {}), f"{field}.times"),
        **{
            n: _whole(value[n], f"{field}.{n}")
            for n in ("agree_within_ms", "backlog_messages", "backlog_bytes", "wait_told_ms")
            if n in value
        },
    )
    if found.id not in found.table.members(found.site):
        raise FederationUnfit(f"{field}.member: {found.id} is not in the table")
    return found


def _flag(value: Any, field: str) -> bool:
    if not isinstance(value, bool):
        raise FederationUnfit(f"{field}: must be true or false, not {value!r:.80}")
    return value


def _times(raw: Any, field: str) -> Times:
    value = _mapping(raw, field)
    strange = sorted(set(value) - {f.name for f in fields(Times)})
    if strange:
        raise FederationUnfit(f"{field}.{strange[0]}: no such field")
    found: dict[str, Any] = {}
    for name, given in value.items():
        if name in ("suspicion_alpha", "suspicion_beta"):
            found[name] = _number(given, f"{field}.{name}")
        else:
            found[name] = _whole(given, f"{field}.{name}", least=0 if name == "indirect_probes" else 1)
    times = Times(**found)
    if times.probe_timeout_ms >= times.probe_period_ms:
        raise FederationUnfit(
            f"{field}.probe_timeout_ms: must be under probe_period_ms "
            f"{times.probe_period_ms}, not {times.probe_timeout_ms}"
        )
    return times


def _table(raw: Any, field: str) -> Table:
    try:
        return tables.read_table(raw)
    except TableUnfit as error:
        raise FederationUnfit(f"{field}: {error.what}") from None


def _places(rows: Any, field: str) -> Iterable[tuple[MemberId, Address]]:
    """Members and where each is: pairs of SITE/NAME and HOST:PORT."""
    rows = list(rows) if not isinstance(rows, (str, bytes)) else []
    if len(rows) > PLACES_MOST:
        raise FederationUnfit(f"{field}: must be at most {PLACES_MOST}, not {len(rows)}")
    for row in rows:
        if not isinstance(row, (list, tuple)) or len(row) != 2:
            raise FederationUnfit(f"{field}: must be pairs of SITE/NAME and HOST:PORT, not {row!r}")
        yield _member(row[0], field), _address(row[1], f"{field}.{row[0]}")


def _mapping(value: Any, field: str) -> dict[str, Any]:
    if not isinstance(value, dict) or not all(isinstance(key, str) for key in value):
        raise FederationUnfit(f"{field}: must be a JSON object, not {value!r:.80}")
    return value


def _text(value: Any, field: str) -> str:
    if not isinstance(value, str):
        raise FederationUnfit(f"{field}: must be text, not {value!r:.80}")
    return value


def _name(value: Any, field: str) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARS or "/" in value:
        raise FederationUnfit(
            f"{field}: must be a name of 1 to {MAX_NAME_CHARS} characters, not {value!r:.80}"
        )
    return value


def _member(value: Any, field: str) -> MemberId:
    try:
        return tables.parse_member(value, field)
    except TableUnfit as error:
        raise FederationUnfit(error.what) from None


def _address(value: Any, field: str) -> Address:
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 1 <= int(port) <= 65_535:
        raise FederationUnfit(f"{field}: must be HOST:PORT with a port from 1 to 65535, not {value!r:.80}")
    return host.strip("[]"), int(port)


def _whole(value: Any, field: str, least: int = 1) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < least:
        raise FederationUnfit(f"{field}: must be a whole number from {least}, not {value!r:.80}")
    return value


def _number(value: Any, field: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 1 <= value <= 1e6:
        raise FederationUnfit(f"{field}: must be a number from 1, not {value!r:.80}")
    return float(value)
