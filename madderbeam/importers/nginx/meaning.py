"""Interprets a tree of directives as partners and routes, with one verdict for each directive."""

from __future__ import annotations

from dataclasses import dataclass, field

from madderbeam.importers.nginx.known import ENTRIES, default_verdict
from madderbeam.importers.nginx.model import Found
from madderbeam.importers.nginx.servers import Scope, Servers
from madderbeam.importers.nginx.tree import Directive, Tree, Wrong
from madderbeam.importers.nginx.upstreams import Upstreams
from madderbeam.importers.nginx.verdicts import Ledger, Verdict


@dataclass
class Meaning:
    """The result of an import. `wrong` lists the errors with which nginx would not start."""

    found: Found = field(default_factory=Found)
    ledger: Ledger = field(default_factory=Ledger)
    wrong: list[Wrong] = field(default_factory=list)


def understand(tree: Tree) -> Meaning:
    """Interpret a tree; each directive gets a verdict even if the configuration has errors."""
    result = Meaning(wrong=list(tree.wrong))
    blocks = [at for at in tree.top if at.name == "http"]
    if not blocks and any(at.name in ("upstream", "server") for at in tree.top):
        _http(tree.top, result)  # a fragment that is meant to be included within http
    for block in blocks:
        result.ledger.imported(block)
        _http(block.block or [], result)
    for at in tree.top:
        _apply_default_verdicts(at, result.ledger)
    for partner in result.found.partners.values():
        if not partner.used and not result.ledger.rows[id(partner.at)].why:
            result.ledger.changed(
                partner.at, "no location that was imported leads there; messages may name it"
            )
    return result


def _http(rows: list[Directive], result: Meaning) -> None:
    """Interpret the directives of one http block."""
    block = Directive("http", (), "", 0, (), rows)
    upstreams = Upstreams(result.found, result.ledger, result.wrong)
    for at in block.children("upstream"):
        upstreams.read(at)
    servers = Servers(result.found, upstreams, result.ledger, result.wrong)
    servers.read(block.children("server"), servers.scope(block, Scope()))


def _apply_default_verdicts(at: Directive, ledger: Ledger) -> None:
    """Give directives without a verdict, here and in nested blocks, that of the table of known directives."""
    if not ledger.judged(at):
        if at.name == "include":
            ledger.imported(at)
        else:
            verdict, why = default_verdict(at.name)
            ledger.judge(at, verdict, why)
            if at.block is not None and (verdict is Verdict.LEFT or at.name in ENTRIES):
                ledger.leave_all(at, why)
                return
    for inner in at.block or ():
        _apply_default_verdicts(inner, ledger)
