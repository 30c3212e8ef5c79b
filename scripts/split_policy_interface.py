"""Replaces imports of policy.interface by imports of the modules that it was split into."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

OLD = "madderbeam.policy.interface"
MODULES = {
    "settings": "Idempotency MessageClass Tenant DestinationKind Settings",
    "events": "AttemptResult EndpointState ListUpdateKind EndpointEntry EndpointListUpdate MessageArrived "
    "ResponseStarted AttemptEnded HealthCheckEnded MessageWithdrawn TimerDue ShutdownStarted "
    "PeerMessageReceived Event",
    "actions": "Send Reject Fail CancelAttempt SetTimer HealthCheck CloseIdleConnections SendPeerMessage Log "
    "Subscribe FetchEndpointList Action",
    "endpoint_preference": "EndpointPreference",
}
HOME = {name: module for module, names in MODULES.items() for name in names.split()}


def bound_names(tree: ast.Module) -> set[str]:
    """All names that a module binds or uses by themselves."""
    names = {n.id for n in ast.walk(tree) if isinstance(n, ast.Name)}
    names |= {n.arg for n in ast.walk(tree) if isinstance(n, ast.arg)}
    names |= {n.name for n in ast.walk(tree) if isinstance(n, (ast.ClassDef, ast.FunctionDef))}
    for node in ast.walk(tree):
        if isinstance(node, (ast.Import, ast.ImportFrom)):
            names |= {a.asname or a.name.partition(".")[0] for a in node.names}
    return names


def convert(path: Path) -> bool:
    text = path.read_text()
    if "interface" not in text:
        return False
    tree = ast.parse(text)
    lines = text.split("\n")
    edits: list[tuple[int, int, int, int, str]] = []
    alias = ""
    import_nodes: list[ast.ImportFrom] = []
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom):
            continue
        if node.module == OLD:
            import_nodes.append(node)
        elif node.module == "madderbeam.policy" and any(a.name == "interface" for a in node.names):
            import_nodes.append(node)
            alias = next(a.asname or a.name for a in node.names if a.name == "interface")
    if not import_nodes:
        return False
    taken = bound_names(tree)
    direct: dict[str, set[str]] = {}
    modules: set[str] = set()
    if alias:
        for node in ast.walk(tree):
            if (
                isinstance(node, ast.Attribute)
                and isinstance(node.value, ast.Name)
                and node.value.id == alias
            ):
                if node.attr not in HOME:
                    print(f"{path}:{node.lineno}: {alias}.{node.attr}?")
                    continue
                module = HOME[node.attr]
                if node.attr in taken:
                    modules.add(module)
                    new = f"policy_{module}.{node.attr}"
                else:
                    direct.setdefault(module, set()).add(node.attr)
                    new = node.attr
                edits.append((node.lineno, node.col_offset, node.end_lineno, node.end_col_offset, new))
    for node in import_nodes:
        indent = " " * node.col_offset
        rows: list[str] = []
        if node.module == OLD:
            by: dict[str, list[str]] = {}
            for name in node.names:
                shown = f"{name.name} as {name.asname}" if name.asname else name.name
                by.setdefault(HOME[name.name], []).append(shown)
            rows = [f"from madderbeam.policy.{m} import {', '.join(sorted(by[m]))}" for m in sorted(by)]
        else:
            others = [a for a in node.names if a.name != "interface"]
            if others:
                shown = ", ".join(f"{a.name} as {a.asname}" if a.asname else a.name for a in others)
                rows.append(f"from madderbeam.policy import {shown}")
            rows += [f"from madderbeam.policy import {m} as policy_{m}" for m in sorted(modules)]
            rows += [
                f"from madderbeam.policy.{m} import {', '.join(sorted(direct[m]))}" for m in sorted(direct)
            ]
        new = f"\n{indent}".join(rows)
        edits.append((node.lineno, node.col_offset, node.end_lineno, node.end_col_offset, new))
    for line, start, end_line, end, new in sorted(edits, reverse=True):
        head = lines[line - 1].encode()[:start].decode()
        tail = lines[end_line - 1].encode()[end:].decode()
        lines[line - 1 : end_line] = [head + new + tail]
    path.write_text("\n".join(lines))
    return True


def main() -> None:
    changed = [path for root in sys.argv[1:] for path in sorted(Path(root).rglob("*.py")) if convert(path)]
    print(f"{len(changed)} files")


if __name__ == "__main__":
    main()
