"""docs/architecture.md names only modules that exist, and every module of the decision module."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs/architecture.md").read_text()
PATH = re.compile(r"`(?:madderbeam/)?((?:[a-z_]+/)*[a-z_]+\.py|(?:[a-z_]+/)+)`")
TEST = re.compile(r"`(tests/[\w/]+\.py)`")


def named():
    return {path for path in PATH.findall(PAGE) if not path.startswith(("tests/", "madderbeam/"))}


def test_each_module_that_the_page_names_exists():
    missing = {path for path in named() if not (ROOT / "madderbeam" / path).exists()}
    assert not missing and len(named()) > 50


def test_each_test_that_the_page_names_exists():
    assert TEST.findall(PAGE) and all((ROOT / path).exists() for path in TEST.findall(PAGE))


def test_the_page_names_each_module_of_the_decision_module():
    modules = {f"policy/{path.name}" for path in (ROOT / "madderbeam/policy").glob("*.py")}
    assert modules - {"policy/__init__.py"} <= named()
