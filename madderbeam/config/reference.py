"""The model in words: JSON Schema for editors, one setting explained, and the operators' page."""

from __future__ import annotations

import re
from typing import Any

from madderbeam.config import model as m
from madderbeam.config.report import like, some
from madderbeam.config.validate import describe

FILES: dict[str, type[m.Table]] = {"estate": m.Estate, "partners": m.Partners}
PAGE = "docs/operators/configuration.md"


def schema(name: str) -> dict[str, Any]:
    """The JSON Schema of a file."""
    made = FILES[name].model_json_schema()
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", "title": f"{name}.toml", **made}


def settings() -> dict[str, tuple[str, str, str]]:
    """Each setting by its path: what is allowed, its default ('' if it must be given), its help."""
    found: dict[str, tuple[str, str, str]] = {}
    for name, model in FILES.items():
        _walk(schema(name), model.model_json_schema(), name, found)
    return found


def _walk(
    whole: dict[str, Any], node: dict[str, Any], path: str, found: dict[str, tuple[str, str, str]]
) -> None:
    needed = set(node.get("required", ()))
    for key, field in node.get("properties", {}).items():
        here = f"{path}.{key}"
        inner, shown = _inside(whole, field)
        if inner is not None:
            rest = "" if key in needed else "may lack"
            found[here + shown] = ("a table" if not shown else "tables", rest, field.get("description", ""))
            _walk(whole, inner, here + shown, found)
            continue
        default = "" if key in needed else _toml(field.get("default"))
        found[here] = (describe(whole, field), default, field.get("description", ""))


def _inside(whole: dict[str, Any], field: dict[str, Any]) -> tuple[dict[str, Any] | None, str]:
    """The table behind a field, and how its elements are named in a path."""
    for node, shown in (
        (field, ""),
        (field.get("items", {}), "[]"),
        (next(iter(field.get("patternProperties", {}).values()), {}), ".NAME"),
    ):
        if shown == "":
            node = next((x for x in node.get("anyOf", ()) if "$ref" in x), node)  # a table, or none
        if "$ref" in node:
            return whole["$defs"][node["$ref"].rpartition("/")[2]], shown
        if shown == "[]":
            for choice in node.get("anyOf", ()):
                if "$ref" in choice:
                    return whole["$defs"][choice["$ref"].rpartition("/")[2]], shown
    return None, ""


def _toml(value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else f"{value}"


def explain(path: str) -> str:
    """A setting's help in a few lines; KeyError with a hint if there is none of that path."""
    known = settings()
    wanted = path if path.partition(".")[0] in FILES else f"estate.{path}"
    for form in (wanted, wanted.replace("application.", "application[].").replace("partner.", "partner[].")):
        parts = form.split(".")
        for key in known:
            names = key.split(".")
            if len(names) == len(parts) and all(
                a == b or a == "NAME" for a, b in zip(names, parts, strict=True)
            ):
                allowed, default, text = known[key]
                rest = f"default: {default}" if default else "has to be given"
                return f"{key}\n  {text}\n  allowed: {allowed}\n  {rest}"
    leaf = wanted.rpartition(".")[2]
    same = [k for k in known if k.rpartition(".")[2] == leaf]
    hint = same[0] if same else like(wanted, known)
    raise KeyError(
        f"{path}: no such setting" + (f"; did you mean {hint}?" if hint else f"; allowed: {some(known, 6)}")
    )


def _row(shown: str, setting: tuple[str, str, str]) -> str:
    allowed, default, meaning = setting
    told = f"`{default}`" if default and default != "may lack" else default or "must be given"
    return f"| `{shown}` | {allowed} | {told} | {meaning} |"


def page() -> str:
    """The operators' page of all settings."""
    text = [
        "# Configuration",
        "",
        "Made from the model by `madderbeam config page`; a test holds that it is current. How the files are",
        "used stands in [sidecar.md](sidecar.md). A path is written as `madderbeam config explain` takes it:",
        "`[]` stands for one of several tables, `NAME` for a name that you choose.",
        "",
    ]
    found = settings()
    for name in FILES:
        text += [
            f"## {name}.toml",
            "",
            "| setting | allowed | default | meaning |",
            "| --- | --- | --- | --- |",
        ]
        for path in found:
            if path.startswith(name + "."):
                text.append(_row(path.removeprefix(name + "."), found[path]))
        text.append("")
    return "\n".join(text)


# The page of federations

MARK = re.compile(r"(<!-- (settings|errors) -->\n).*?(<!-- end -->)", re.S)


def fill(text: str) -> str:
    """A page whose tables between marks are made anew from the model and from the errors."""
    made = {"settings": _federation_settings, "errors": _federation_errors}
    return MARK.sub(lambda found: found[1] + "\n".join(made[found[2]]()) + "\n" + found[3], text)


def _federation_settings() -> list[str]:
    app, partner = "estate.application[]", "partners.partner[]"
    wanted = (
        "estate.federation.",
        "estate.site[]",
        f"{app}.member",
        f"{app}.via",
        f"{app}.mesh_listen",
        f"{partner}.site",
        f"{partner}.topics",
    )
    rows = [
        _row(path.partition(".")[2], found) for path, found in settings().items() if path.startswith(wanted)
    ]
    return ["| setting | allowed | default | meaning |", "| --- | --- | --- | --- |", *rows]


def errors() -> list[tuple[str, str, str, str]]:
    """Each error of a federation, by its code: its name, what happened, what an operator can do."""
    from madderbeam.federation.errors import FederationError

    found, todo = [], list(FederationError.__subclasses__())
    while todo:
        kind = todo.pop()
        todo += kind.__subclasses__()
        meaning = " ".join((kind.__doc__ or "").split("\n\n")[0].split())
        found.append((kind.code, kind.__name__, meaning, kind.advice))
    return sorted(found)


def _federation_errors() -> list[str]:
    rows = [f"| `{code}` | {name} | {meaning} | {advice} |" for code, name, meaning, advice in errors()]
    return ["| code | name | what it means | what to do |", "| --- | --- | --- | --- |", *rows]
