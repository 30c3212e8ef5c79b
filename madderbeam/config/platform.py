"""What a courier is told at its start: the environment and the file that LB_CONFIG names."""

from __future__ import annotations

import ipaddress
import json
import logging
import secrets
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from madderbeam import wire
from madderbeam.config import rendered
from madderbeam.policy.settings import Settings
from madderbeam.ports import Address, Disk

if TYPE_CHECKING:
    from madderbeam.config.federation import Federation
    from madderbeam.config.standby import Standby

MEMORY_MB = 192  # of a process that is told no limit
GUARD_BYTES = 4 * 512  # of a sidecar's folder are for its lock and its owner's name
log = logging.getLogger(__name__)


class ConfigError(Exception):
    """A value that lacks or is wrong; the text is one line that names its field."""


@dataclass(frozen=True)
class Sidecar:
    """What a courier beside one program is told in place of discovery."""

    partners: str  # the partner list's file
    feed: str  # the finals' file, "" if they go to the `discovery` address
    feed_bytes: int  # at which the feed is set aside
    clients: int  # connections of the program
    client_idle_s: float
    sync: bool = False  # each group of the journal's records


@dataclass(frozen=True)
class Kafka:
    """The Kafka front: where it listens, what it tells clients of that, who may log in (none: anybody)."""

    listen: Address
    advertised: Address  # port 0: the one that it listens at
    users: dict[str, str]
    partitions: int = 1
    finals: str = "finals"


@dataclass(frozen=True)
class Config:
    """Everything that a courier is told."""

    name: str
    listen: Address
    discovery: Address
    state: str
    seed: int
    sockets: int
    disk_bytes: int
    known: dict[str, Any]
    settings: Settings
    zones: tuple[str, ...]
    sidecar: Sidecar | None = None
    control: Address | None = None  # where those who run it call
    listen_fd: int = -1  # an open descriptor that listens at `listen` already
    zone: str = ""  # where it stands, for pools that prefer their own
    kafka: Kafka | None = None
    quota: dict[str, Any] | None = None  # as quota.gate reads it
    federation: Federation | None = None
    standby: Standby | None = None
    changes: dict[str, Any] | None = None  # bounds, as changes.values.Settings has them
    memory_bytes: int = MEMORY_MB * 1_000_000  # over which the process would be ended


def parse_address(text: Any, field: str) -> Address:
    """'10.0.0.4:6379' as (host, port)."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    digits = port.isascii() and port.isdigit() and len(port) <= 5
    if not host or not colon or not digits or int(port) > 65535:
        raise ConfigError(f"{field}: must be HOST:PORT, not {text!r:.200}")
    return host.strip("[]"), int(port)


def dialed_address(text: Any, field: str) -> Address:
    """As parse_address, of one that can be connected to without a look-up: that would stall the loop, for
    seconds where nobody answers it."""
    host, port = parse_address(text, field)
    try:
        if host != "localhost":
            ipaddress.ip_address(host)
    except ValueError as error:
        raise ConfigError(f"{field}: {error!s:.200}") from None
    if not port:
        raise ConfigError(f"{field}: must have a port, not {text!r}")
    return host, port


def load(env: Mapping[str, str], disk: Disk) -> Config:
    """The configuration; the environment wins where both give a value, but for discovery's address."""
    raw = _read(env, disk)
    limits = _mapping(raw, "limits")
    given = _mapping(raw, "settings")
    state = env.get("LB_STATE", "")
    if not state or not disk.is_folder(state):
        raise ConfigError(f"LB_STATE: must be a folder, not {env.get('LB_STATE')!r}")
    control = env.get("LB_CONTROL") or raw.get("control")
    return Config(
        name=str(env.get("LB_NAME") or raw.get("name", "")),
        listen=parse_address(env.get("LB_LISTEN") or raw.get("listen"), "LB_LISTEN"),
        discovery=_first_discovery(env, raw),
        state=state,
        seed=_seed(raw.get("seed", 0)),
        sockets=int(_number(limits, "sockets", 1024)),
        disk_bytes=int(_number(limits, "disk_mb", 3) * 1_000_000),
        known=_known(raw.get("known", {})),
        settings=_settings(given),
        zones=tuple(str(z) for z in given.get("localities") or ()),
        control=parse_address(control, "LB_CONTROL") if control else None,
        listen_fd=_descriptor(env),
        zone=str(raw.get("zone", "")),
        memory_bytes=int(_number(limits, "memory_mb", MEMORY_MB) * 1_000_000),
    )


def load_sidecar(path: str, disk: Disk) -> Config:
    """The configuration in a rendered file. ConfigError, in one line, if a courier must not start from it."""
    folder = path.rpartition("/")[0] or "."
    try:
        raw = rendered.parse(disk.read(path), path)
        side, limits = raw["sidecar"], raw["limits"]
        listed = f"{folder}/{side['partners']}"
        known = partner_list(disk.read(listed), listed)
    except OSError as error:
        raise ConfigError(f"{error.filename or path}: cannot be read: {error.strerror}") from None
    except rendered.Unfit as error:
        raise ConfigError(str(error)) from None
    except (KeyError, TypeError) as error:
        raise ConfigError(f"{path}: is not a courier's file: {error} lacks") from None
    listen = raw["listen"]
    unix = listen.startswith("unix:")
    web = side["finals"].startswith("http://")
    settings = _settings(raw["settings"])
    control = raw.get("control")
    return Config(
        control=parse_address(control, f"{path}: control") if control else None,
        name=raw["name"],
        listen=(listen[5:], 0) if unix else parse_address(listen, f"{path}: listen"),
        discovery=parse_address(side["finals"][7:].rstrip("/"), f"{path}: finals") if web else ("", 0),
        state=side["state"],
        seed=secrets.randbits(64),
        sockets=int(limits["sockets"]),
        disk_bytes=int(limits["disk_mb"] * 1_000_000) - GUARD_BYTES,
        known=_known(known),
        settings=settings,
        zones=tuple(raw["settings"]["localities"]),
        zone=str(raw.get("zone", "")),
        kafka=_kafka(raw.get("kafka"), path),
        quota=_quota(raw.get("quota"), path),
        federation=_federation(raw.get("federation"), path),
        changes=_changes(raw.get("changes"), path),
        standby=_standby(raw.get("standby"), path),
        sidecar=Sidecar(
            listed,
            "" if web else side["finals"],
            int(side["feed_mb"] * 1e6),
            int(limits["clients"]),
            limits["client_idle_ms"] / 1e3,
            limits.get("journal_sync", False),
        ),
    )


def _kafka(raw: Any, shown: str) -> Kafka | None:
    if raw is None:
        return None
    try:
        listen = parse_address(raw["listen"], f"{shown}: kafka.listen")
        told = parse_address(raw["advertised"], f"{shown}: kafka.advertised") if raw["advertised"] else listen
        return Kafka(listen, told, dict(raw["users"]), int(raw["partitions"]), str(raw["finals"]))
    except (KeyError, TypeError, ValueError) as error:
        raise ConfigError(f"{shown}: kafka: can't be used: {error!r}") from None


def _quota(raw: Any, shown: str) -> dict[str, Any] | None:
    if raw is None:
        return None
    import random

    from madderbeam.quota.admission import QuotaAdmission, QuotaError

    try:
        QuotaAdmission(raw, 0, random.Random(0), 1)
    except (QuotaError, AttributeError) as error:
        raise ConfigError(f"{shown}: {error}") from None
    return dict(raw)


def _federation(raw: Any, shown: str) -> Federation | None:
    if raw is None:
        return None
    from madderbeam.config.federation import FederationUnfit, read

    try:
        return read(raw)
    except FederationUnfit as error:
        raise ConfigError(f"{shown}: {error}") from None


def _standby(raw: Any, shown: str) -> Standby | None:
    if raw is None:
        return None
    from madderbeam.config.standby import StandbyUnfit, read

    try:
        return read(raw)
    except StandbyUnfit as error:
        raise ConfigError(f"{shown}: {error}") from None


def _changes(raw: Any, shown: str) -> dict[str, Any] | None:
    if raw is None:
        return None
    from madderbeam.changes.values import Settings as Bounds

    try:
        Bounds(**raw)
    except TypeError as error:
        raise ConfigError(f"{shown}: changes: can't be used: {error}") from None
    return dict(raw)


def partner_list(data: bytes, shown: str) -> dict[str, Any]:
    """A rendered partner list in discovery's form; rendered.Unfit if it can't be used."""
    value = rendered.parse(data, shown)
    targets = value.get("targets")
    if not isinstance(targets, list):
        raise rendered.Unfit(f"{shown}: targets: must be a list")
    found = {"rev": 0, "all": True, "targets": targets}
    if (routing := value.get("routing")) is not None:
        from madderbeam.routing.router import Router, RoutingError

        try:
            Router(0).configure(routing)
        except RoutingError as error:
            raise rendered.Unfit(f"{shown}: {error}") from None
        found["routing"] = routing
    return found


def discovery(env: Mapping[str, str], disk: Disk) -> Address:
    """Where discovery is by the file alone: once the file was replaced, the environment is the older word."""
    return dialed_address(_read(env, disk).get("discovery"), "discovery")


def _first_discovery(env: Mapping[str, str], raw: dict[str, Any]) -> Address:
    """Where discovery is at a start. The file counts first, as it does at each SIGHUP: one that was replaced
    then is newer than the environment of a process that is started again."""
    given, found = env.get("LB_DISCOVERY"), raw.get("discovery")
    if not given or found is None:
        return parse_address(given or found, "LB_DISCOVERY")
    try:
        address = dialed_address(found, "discovery")
    except ConfigError as error:
        log.error("%s: LB_DISCOVERY counts", error)
        return parse_address(given, "LB_DISCOVERY")
    if found != given:
        log.warning("discovery is at %s by the file, which counts, and at %s by LB_DISCOVERY", found, given)
    return address


def _read(env: Mapping[str, str], disk: Disk) -> dict[str, Any]:
    path = env.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG: is not set")
    try:
        raw = json.loads(disk.read(path))
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: cannot be read: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"LB_CONFIG: is not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError("LB_CONFIG: must hold a JSON object")
    return raw


def _descriptor(env: Mapping[str, str]) -> int:
    text = env.get("LB_FD", "")
    if text and not (text.isdigit() and len(text) < 6):
        raise ConfigError(f"LB_FD: must be the number of an open descriptor, not {text!r}")
    return int(text) if text else -1


def _mapping(raw: dict[str, Any], field: str) -> dict[str, Any]:
    value = raw.get(field, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{field}: must be a JSON object")
    return value


def _known(known: Any) -> dict[str, Any]:
    """What can be used of the list as it was last known: it may be old, and discovery has it anew."""
    rev, targets = (known.get("rev", 0), known.get("targets", [])) if isinstance(known, dict) else (0, None)
    if not isinstance(targets, list):
        log.error("known: must be an object with a list targets, not %.200r: no endpoint is known yet", known)
        return {"rev": 0, "targets": []}
    if not isinstance(rev, int) or rev < 0:
        log.error("known: rev must be a whole number, not %.200r: the whole list is asked for", rev)
        rev = 0
    more = {"routing": known["routing"]} if known.get("routing") is not None else {}
    return {"rev": rev, "targets": targets, **more}


def _number(limits: dict[str, Any], field: str, default: float) -> float:
    value = limits.get(field, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value <= 0:
        raise ConfigError(f"limits.{field}: must be a number above 0, not {value!r}")
    return value


def _seed(value: Any) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(value)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: must be a number or hex digits, not {value!r}") from None


def _settings(given: dict[str, Any]) -> Settings:
    if not given:
        raise ConfigError("settings: lacks")
    try:
        return wire.read_settings(json.dumps(given))
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None
