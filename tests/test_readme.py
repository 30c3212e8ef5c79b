"""The README's example runs and does what it shows; so does its place for the test command."""

import pathlib
import re

README = (pathlib.Path(__file__).parent.parent / "README.md").read_text()


def test_the_example_sends_and_tries_again(capsys):
    code = re.search(r"```python\n(.*?)```", README, re.S).group(1)
    scope = {}
    exec(code, scope)
    said = capsys.readouterr().out.splitlines()
    assert said[0].startswith("send 42 to 1")
    for now in range(100_000, 900_000, 20_000):
        scope["turn"](now)
    assert capsys.readouterr().out.count("send 42 to 1") + len(said) == 2


def test_ci_runs_the_command_of_the_readme():
    command = re.search(r"## Tests\n\n```\n(.*?)\n```", README).group(1)
    run = pathlib.Path(__file__).parent.parent / ".ci" / "run"
    assert command in run.read_text().splitlines()
