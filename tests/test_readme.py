"""The README's example runs and does what it shows; so does its place for the test command."""

import pathlib
import re

README = (pathlib.Path(__file__).parent.parent / "README.md").read_text()


def test_the_example_sends_and_tries_again(capsys):
    code = re.search(r"```python\n# the decision module\n(.*?)```", README, re.S).group(1)
    scope = {}
    exec(code, scope)
    said = capsys.readouterr().out.splitlines()
    assert said[0].startswith("send 42 to 1")
    for now in range(100_000, 900_000, 20_000):
        scope["cycle"](now)
    assert capsys.readouterr().out.count("send 42 to 1") + len(said) == 2


def test_ci_runs_the_command_of_the_readme():
    command = re.search(r"## Tests\n\n```\n(.*?)\n```", README).group(1)
    run = pathlib.Path(__file__).parent.parent / ".ci" / "run"
    assert command in run.read_text().splitlines()


def test_the_client_of_the_readme_compiles_and_names_what_there_is():
    code = re.search(r"```python\n(from madderbeam.client.*?)```", README, re.S).group(1)
    compile(code, "README.md", "exec")
    from madderbeam.client import Courier

    assert {"put", "finals"} <= set(vars(Courier))


def test_the_commands_of_the_pages_exist():
    from madderbeam.cli import parser

    pages = [
        README,
        *(
            (pathlib.Path(__file__).parent.parent / "docs" / "operators" / name).read_text()
            for name in ("sidecar.md", "simulation.md")
        ),
    ]
    commands = {m[1] for page in pages for m in re.finditer(r"`?madderbeam ([a-z]+)", page)}
    commands -= {"is", "starts", "on"}
    known = parser()._subparsers._group_actions[0].choices
    assert commands and commands <= set(known) | {"demo"}, commands - set(known)


def test_the_estate_of_the_operators_page_has_no_mistake(tmp_path):
    from madderbeam.config.check import check

    page = (pathlib.Path(__file__).parent.parent / "docs" / "operators" / "sidecar.md").read_text()
    for name in ("estate", "partners"):
        text = re.search(rf"```toml\n# {name}.toml\n(.*?)```", page, re.S).group(1)
        (tmp_path / f"{name}.toml").write_text(text)
    assert check(tmp_path / "estate.toml").problems == []
