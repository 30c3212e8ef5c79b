"""The house: imports point one way, in the whole package, imports for types included."""

import ast
import gc
import pathlib

ROOT = pathlib.Path(__file__).parent.parent
LAYERS = (
    "madderbeam.policy.events",
    "madderbeam.simulation.script",
    "madderbeam.simulation.kernel",
    "madderbeam.simulation.couriers",
    "madderbeam.simulation.world",
    "madderbeam.simulation.faults",
    "madderbeam.simulation.runs",
    "madderbeam.cli",
)  # each may import only what stands before it


def modules():
    """Each module's imports of the package itself."""
    found = {}
    gc.collect()  # CPython 3.11 raises SystemError if a finalizer that warns runs amid ast.parse
    for path in (ROOT / "madderbeam").rglob("*.py"):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        found[name] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("madderbeam"):
                found[name] |= {node.module, *(f"{node.module}.{a.name}" for a in node.names)}
            elif isinstance(node, ast.Import):
                found[name] |= {a.name for a in node.names}
    return {
        name: {i for i in imports if i in found and i != name and not name.startswith(f"{i}.")}
        for name, imports in found.items()
    }


def reached(graph, start):
    seen, todo = set(), [start]
    while todo:
        for name in graph[todo.pop()] - seen:
            seen.add(name)
            todo.append(name)
    return seen


def test_no_module_imports_itself_by_way_of_others():
    graph = modules()
    assert [name for name in graph if name in reached(graph, name)] == []


def test_layers_import_only_what_lies_below():
    graph = modules()
    for at, name in enumerate(LAYERS):
        assert not reached(graph, name) & set(LAYERS[at + 1 :]), name


def test_decisions_do_no_io():
    graph = modules()
    for name in graph:
        if name.startswith("madderbeam.policy."):
            assert all(i.startswith("madderbeam.policy.") for i in reached(graph, name)), name
