"""From a checked estate to files that couriers run from: the same bytes for the same input."""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from madderbeam.config import model as m
from madderbeam.config.check import WINDOW_SHARE
from madderbeam.config.quotas import quota
from madderbeam.config.rendered import FORM, seal
from madderbeam.config.report import Loaded
from madderbeam.config.sites import section
from madderbeam.config.standbys import standby

EFFECTS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
MANIFEST = "manifest.json"


@dataclass(frozen=True)
class File:
    """One file to write."""

    name: str
    text: str

    @property
    def digest(self) -> str:
        return hashlib.sha256(self.text.encode()).hexdigest()


def file_digest(path: Path) -> str:
    """What `File.digest` is of a file that was written."""
    return hashlib.sha256(path.read_bytes()).hexdigest()


SERVER = {
    "weight": 1,
    "backup": 1,
    "down": 1,
    "max_conns": 1,
    "max_fails": 1,
    "fail_timeout_ms": 1000,
    "slow_start_ms": 1000,
}  # settings of an endpoint in a pool, and what their units are multiplied by


def _me(loaded: Loaded, app: m.Application, couriers: int) -> int:
    """Which of the couriers it is."""
    place = [a.name for a in loaded.applications].index(app.name)
    return (place if app.courier is None else app.courier) % couriers


def _server(endpoint: m.Endpoint) -> dict[str, Any]:
    """What a pool is told of an endpoint."""
    given = endpoint.model_dump(exclude_none=True)
    return {
        name.replace("_ms", "_us"): given[name] * times if times > 1 else given[name]
        for name, times in SERVER.items()
        if name in given
    }


def _routing(loaded: Loaded, app: m.Application) -> dict[str, Any] | None:
    """Pools, routes and names, None where nobody asks for any: then the courier has no routing at all."""
    pools = {}
    reached = _reached(loaded, app)
    for partner in reached:
        servers = [{"address": e.address, **_server(e)} for e in _endpoints(partner)]
        if partner.pool is None and all(len(s) == 1 for s in servers):
            continue
        pools[str(partner.number)] = {**(partner.pool or m.Pool()).model_dump(), "servers": servers}
    names = {p.name: p.number for p in reached}
    # A partner that the application does not reach: its paths lead nowhere, not to another route.
    routes = [_route(r, names) for r in loaded.partners.route]
    if not pools and all(r["to"] < 0 for r in routes):
        return None
    return {"form": 1, "pools": pools, "names": names, "routes": routes}


def _route(route: m.Route, names: dict[str, int]) -> dict[str, Any]:
    host = {"host": route.host} if route.host else {}
    to = names.get(route.partner, -1)
    return {"on": route.on, "match": route.match, "text": route.text, "to": to, **host}


def _settings(loaded: Loaded, app: m.Application) -> dict[str, Any]:
    """The platform's settings object for one application."""
    estate, kinds = loaded.estate, loaded.partners.kinds
    classes = []
    for name in app.classes:
        c = estate.classes[name]
        classes.append(
            {
                "name": name,
                "goalTimeUs": c.wanted_ms * 1000,
                "deadlineUs": c.deadline_ms * 1000,
                "idempotency": EFFECTS[c.repeat],
                "keyTtlUs": c.key_window_ms * 1000,
                "keyScope": c.key_scope,
                "worth": c.worth,
                "lateShare": c.late_share,
                "sequential": c.ordered,
            }
        )
    tenants = app.tenants or sorted(estate.tenants)
    zones = sorted({e.zone for p in _reached(loaded, app) for e in _endpoints(p)})
    couriers = app.couriers or len(loaded.applications)
    window = app.window or max(1, int(WINDOW_SHARE * app.slots))
    return {
        "classes": classes,
        "clients": {"marksRetry": True},
        "groupSize": couriers,
        "me": _me(loaded, app, couriers),
        "stepUs": app.tick_ms * 1000,
        "contract": {
            "coldShare": app.cold_share,
            "coldUs": app.cold_ms * 1000,
            "drainGraceUs": app.drain_grace_ms * 1000,
            "fallMultiple": app.fall_multiple,
            "fallUs": app.fall_ms * 1000,
            "keyRestUs": app.key_rest_ms * 1000,
        },
        "familyInfo": {
            "maxCalls": app.slots,
            "kindApart": [kinds[k].routes_apart for k in sorted(kinds)],
            "kindBatch": [kinds[k].bundle for k in sorted(kinds)],
        },
        "policyLimits": {
            "attemptsCap": app.attempts,
            "connIdleUs": app.connection_idle_ms * 1000,
            "connectTimeoutUs": app.connect_timeout_ms * 1000,
            "maxOpen": app.max_held,
            "retryAfter": app.max_wait_ms > 0,
            "maxRetryAfterUs": app.max_wait_ms * 1000,
            "probing": False,
        },
        "design": {
            "tries": app.attempts,
            "baseUs": app.retry_base_ms * 1000,
            "capUs": app.retry_cap_ms * 1000,
            "window": window,
        },
        "localities": zones,
        "shapes": sorted(kinds),
        "weightSource": "nominal",
        "tenants": [
            {"name": t, "fraction": estate.tenants[t].share, "quotaPerS": estate.tenants[t].per_s}
            for t in tenants
        ],
    }


def _endpoints(partner: m.Partner) -> list[m.Endpoint]:
    return [m.Endpoint(address=e) if isinstance(e, str) else e for e in partner.endpoints]


def _reached(loaded: Loaded, app: m.Application) -> list[m.Partner]:
    return [p for p in loaded.partners.partner if not app.partners or p.name in app.partners]


def _targets(loaded: Loaded, app: m.Application) -> list[dict[str, Any]]:
    """The partner list in discovery's form."""
    return [
        {
            "uid": f"{p.name}/{e.address}",
            "endpoint": e.address,
            "az": e.zone,
            "model": p.kind,
            "pod_group": p.number,
            "state": e.state,
            "capacity_hint": p.per_s,
            "boot_ms": 0,
            **({"topic": p.topic} if p.topic else {}),
            **({"topics": sorted(p.topics)} if p.topics and loaded.estate.federation else {}),
        }
        for p in _reached(loaded, app)
        for e in _endpoints(p)
    ]


def _dump(value: Any) -> str:
    return json.dumps(value, indent=1, sort_keys=True, ensure_ascii=False) + "\n"


def partner_file(app: m.Application) -> str:
    return f"{app.name}.partners.json"


def render(loaded: Loaded) -> list[File]:
    """All files of an estate: for each courier its own and its partner list; last a manifest of them."""
    files = []
    for app in loaded.applications:
        routing = _routing(loaded, app)
        listed = {
            "form": FORM,
            "all": True,
            "targets": _targets(loaded, app),
            **({"routing": routing} if routing else {}),
        }
        files.append(File(partner_file(app), _dump(seal(listed))))
        unix = app.listen.startswith("unix:")
        tree = quota(loaded.estate, app.couriers or len(loaded.applications))
        listen = f"unix:{os.path.realpath(loaded.folder / app.listen[5:])}" if unix else app.listen
        finals = loaded.finals(app)
        courier = {
            "form": FORM,
            "name": app.name,
            "listen": listen,
            **({"control": app.control} if app.control else {}),
            **({"zone": app.zone} if app.zone else {}),
            **({"quota": tree} if tree else {}),
            **({"kafka": app.kafka.model_dump()} if app.kafka else {}),
            **({"standby": standby(app.standby, loaded.folder)} if app.standby else {}),
            **({"federation": section(loaded, app)} if loaded.estate.federation else {}),
            **({"changes": loaded.estate.changes.model_dump()} if loaded.estate.changes else {}),
            "settings": _settings(loaded, app),
            "limits": {
                "sockets": app.sockets,
                "disk_mb": app.disk_mb,
                "clients": app.clients,
                "client_idle_ms": app.client_idle_ms,
                "journal_sync": app.journal_sync,
            },
            "sidecar": {
                "state": os.path.realpath(loaded.state(app)),
                "partners": partner_file(app),
                "finals": finals if finals.startswith("http://") else os.path.realpath(finals),
                "feed_mb": app.feed_mb,
            },
        }
        files.append(File(f"{app.name}.json", _dump(seal(courier))))
    manifest = {"form": FORM, "files": {f.name: f.digest for f in files}}
    return [*files, File(MANIFEST, _dump(seal(manifest)))]


def platform(loaded: Loaded, discovery: str) -> list[File]:
    """The same couriers in the platform's LB_CONFIG form (DEPLOY, 'What a courier is told'), one file each.

    Listening address, folder and name may be overridden by the environment, as there. `seed` is drawn by
    whoever starts a courier: the file is the same for the same input.
    """
    files = []
    for app in loaded.applications:
        routing = _routing(loaded, app)
        known = {
            "rev": 0,
            "all": True,
            "targets": _targets(loaded, app),
            **({"routing": routing} if routing else {}),
        }
        config = {
            "name": app.name,
            "listen": app.listen,
            "discovery": discovery,
            "seed": 0,
            **({"zone": app.zone} if app.zone else {}),
            "limits": {"cores": 1.0, "sockets": app.sockets, "disk_mb": app.disk_mb},
            "known": known,
            "settings": _settings(loaded, app),
        }
        files.append(File(f"{app.name}.json", _dump(config)))
    return files


def write(files: list[File], out: Path) -> list[str]:
    """Write what differs, each file whole and at once, the manifest last; the names of those written.

    OSError if one can't be. Killed between two of them, the manifest still names the old ones, and the next
    call writes the rest.
    """
    out.mkdir(parents=True, exist_ok=True)
    written = []
    for file in files:
        path = out / file.name
        data = file.text.encode()
        with contextlib.suppress(OSError):
            if path.read_bytes() == data:
                continue
        fresh = out / f".{file.name}.{os.getpid()}.new"
        with fresh.open("wb") as handle:
            handle.write(data)
            handle.flush()
            os.fsync(handle.fileno())
        os.replace(fresh, path)
        written.append(file.name)
    return written
