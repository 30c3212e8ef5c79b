"""Every mistake of an estate in one run: each file by itself, then what they say of one another."""

from __future__ import annotations

import random
from pathlib import Path

from madderbeam.config import model as m
from madderbeam.config.federated import federated, mesh_listeners
from madderbeam.config.folders import folders
from madderbeam.config.listeners import listeners
from madderbeam.config.partners import partner_list
from madderbeam.config.report import Loaded, Report, like, named, some, where
from madderbeam.config.source import Key, Problem, Source, read
from madderbeam.config.standbys import standbys
from madderbeam.config.validate import validate

WINDOW_SHARE = 0.75  # DESIGN: calls to one destination stay under this share of the slots
HELD_BYTES = 700  # of disk that one held message takes at least: its record twice, and what becomes of it


def check(path: Path, shown: str = "") -> Report:
    """Check an estate file and the partner list that it names, or a partner list alone.

    `loaded` is set if nothing is wrong with an estate.
    """
    report = Report()
    source = read(path, shown)
    if isinstance(source, Problem):
        report.problems.append(source)
        return report
    if "partner" in source.raw and "application" not in source.raw:  # a partner list by itself
        if (alone := validate(m.Partners, source, report)) is not None:
            partner_list(alone, source, report)
        report.problems = sorted(set(report.problems))
        return report
    estate = validate(m.Estate, source, report)
    place = source.raw.get("partner_list", "partners.toml")
    listed = (
        read(path.parent / place, str(Path(shown or path).parent / place)) if isinstance(place, str) else None
    )
    partners = None
    if isinstance(listed, Source):
        partners = validate(m.Partners, listed, report)
        if partners is not None:
            partner_list(partners, listed, report)
    elif listed is not None:
        report.problems.append(listed)
    if estate is not None:
        _across(estate, partners, path.parent, source, listed if isinstance(listed, Source) else None, report)
        if partners is not None and not report.problems:
            apps = tuple(app for app, _ in _merged(estate, source))
            report.loaded = Loaded(path.parent, estate, partners, apps)
    report.problems, report.warnings = sorted(set(report.problems)), sorted(set(report.warnings))
    return report


def _merged(estate: m.Estate, source: Source) -> list[tuple[m.Application, Key]]:
    """The applications with the defaults filled in."""
    defaults = estate.defaults.model_dump(exclude_unset=True)
    numbers = source.numbers(("application",), len(estate.application))
    return [
        (
            m.Application.model_validate({**defaults, **app.model_dump(exclude_unset=True)}),
            ("application", number),
        )
        for number, app in zip(numbers, estate.application, strict=False)
    ]


def _settings(app: m.Application, at: Key, source: Source, report: Report) -> None:
    if app.retry_cap_ms < app.retry_base_ms:
        report.add(
            source,
            where(source, at, "retry_cap_ms"),
            f"retry_cap_ms {app.retry_cap_ms} is under retry_base_ms {app.retry_base_ms}",
            "at least retry_base_ms",
        )
    most = max(1, int(WINDOW_SHARE * app.slots))
    if app.window is not None and app.window > most:
        report.add(
            source,
            where(source, at, "window"),
            f"window {app.window} is over three quarters of {app.slots} slots",
            f"a whole number from 1 to {most}",
        )
    if app.clients > app.sockets // 2:
        report.add(
            source,
            where(source, at, "clients"),
            f"clients {app.clients} is over half of {app.sockets} sockets",
            f"at most {app.sockets // 2}: the rest is for calls",
        )
    need = app.max_held * HELD_BYTES / 1e6
    if app.disk_mb < need:
        report.add(
            source,
            where(source, at, "disk_mb"),
            f"disk_mb {app.disk_mb:g} is under what max_held {app.max_held} needs",
            f"at least {need:.2f}, with bodies of no size; more for larger ones",
        )


def _classes(estate: m.Estate, source: Source, report: Report) -> None:
    for name, cls in estate.classes.items():
        at: Key = ("classes", name)
        if cls.deadline_ms < cls.wanted_ms:
            report.add(
                source,
                (*at, "deadline_ms"),
                f"deadline_ms {cls.deadline_ms} is under wanted_ms {cls.wanted_ms}",
                "at least wanted_ms",
            )
        if cls.repeat == "keyed" and not cls.key_window_ms:
            report.add(
                source,
                (*at, "key_window_ms"),
                "lacks, and the class is keyed",
                "a whole number from 1 to 86400000",
            )
        if cls.repeat != "keyed" and cls.key_window_ms:
            report.add(
                source,
                (*at, "key_window_ms"),
                f"the class is {cls.repeat}, not keyed",
                "only where repeat is keyed",
            )
    whole = sum(t.share for t in estate.tenants.values())
    if whole > 1 + 1e-9:
        report.add(source, ("tenants",), f"shares add up to {whole:.1%}", "at most 100%")


def _quota(estate: m.Estate, source: Source, report: Report) -> None:
    """The tree of quotas stands, and each tenant and class counts at one node."""
    numbered = source.numbers(("quota",), len(estate.quota))
    seen: dict[str, int] = {}
    owners: dict[tuple[str, str], str] = {}
    right = True
    for index, node in zip(numbered, estate.quota, strict=False):
        at: Key = ("quota", index)
        if node.name in seen:
            report.add(source, (*at, "name"), f"{node.name!r} stands twice", "each once")
            right = False
        if node.parent and node.parent not in seen:
            report.add(
                source,
                (*at, "parent"),
                f"no node {node.parent!r} ahead of it",
                some(seen),
                like(node.parent, seen),
            )
            right = False
        if not node.parent and node.share != m.Rates():
            report.add(source, (*at, "share"), "there is no parent of whose limit it has a part", "limit")
        seen[node.name] = index
        named(node.tenants, estate.tenants, "tenant", (*at, "tenants"), source, report)
        named(node.classes, estate.classes, "class", (*at, "classes"), source, report)
        for key in ((t, c) for t in node.tenants or [""] for c in node.classes or [""]):
            if key != ("", "") and key in owners:
                report.add(source, at, f"{owners[key]} counts the same messages", "one node for each")
            owners.setdefault(key, node.name)
    if right and estate.quota:
        from madderbeam.config.quotas import quota
        from madderbeam.quota.admission import QuotaAdmission, QuotaError

        try:
            QuotaAdmission(quota(estate, 1) or {}, 0, random.Random(0), 1)
        except QuotaError as error:
            report.add(source, ("quota", 0), str(error).removeprefix("quota: "), "a tree that adds up")


def _across(
    estate: m.Estate,
    partners: m.Partners | None,
    folder: Path,
    source: Source,
    listed: Source | None,
    report: Report,
) -> None:
    """What tables say of one another."""
    _classes(estate, source, report)
    apps = _merged(estate, source)
    names: set[str] = set()
    for app, at in apps:
        if app.name in names:
            report.add(source, (*at, "name"), f"{app.name!r} stands twice", "each once")
        names.add(app.name)
        _settings(app, at, source, report)
        named(app.classes, estate.classes, "class", (*at, "classes"), source, report)
        named(app.tenants, estate.tenants, "tenant", (*at, "tenants"), source, report)
        if partners is not None:
            named(
                app.partners, [p.name for p in partners.partner], "partner", (*at, "partners"), source, report
            )
    _quota(estate, source, report)
    listeners(apps, mesh_listeners(estate, apps, source), folder, source, report)
    blank = m.Partners.model_construct(kinds={}, partner=[])
    folders(apps, Loaded(folder, estate, partners or blank, ()), source, report)
    federated(estate, apps, partners, folder, source, listed, report)
    standbys(estate, apps, folder, source, report)
