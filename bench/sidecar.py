"""What the configuration tool and a sidecar cost.

    python bench/sidecar.py      # check and render of 200 applications and 5,000 endpoints; start and memory

Check and render run in this process. Start is the time from the process's begin to its "is ready" line, and
memory its resident set then: of a courier that the platform starts, and of one from a rendered file.
Exits with 1 if the check takes over two seconds.
"""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).parent.parent
sys.path.insert(0, str(HERE / "tests"))
sys.path.insert(0, str(HERE / "tests" / "sidecar"))
sys.path.insert(0, str(HERE))
from loopback import settings  # noqa: E402

from madderbeam.config.check import check  # noqa: E402
from madderbeam.config.render import render, write  # noqa: E402

APPLICATIONS, PARTNERS, ENDPOINTS, MOST_S, RUNS = 200, 1250, 4, 2.0, 9


def large(folder: Path) -> Path:
    """An estate of the size that the users name."""
    text = ['[classes.notice]\nwanted_ms = 1000\ndeadline_ms = 6000\nrepeat = "safe"\n']
    for n in range(APPLICATIONS):
        text.append(
            f'[[application]]\nname = "app-{n}"\nlisten = "127.0.0.1:{10_000 + n}"\n'
            f'state = "state/app-{n}"\nclasses = ["notice"]\n'
            f"partners = {json.dumps([f'partner-{(n * 7 + k) % PARTNERS}' for k in range(40)])}\n"
        )
    (folder / "estate.toml").write_text("\n".join(text))
    rows = []
    for n in range(PARTNERS):
        places = [f'"10.{n // 250}.{n % 250}.{k + 1}:443"' for k in range(ENDPOINTS)]
        rows.append(
            f'[[partner]]\nname = "partner-{n}"\nnumber = {n}\nper_s = 20\n'
            f"endpoints = [{', '.join(places)}]\n"
        )
    (folder / "partners.toml").write_text("\n".join(rows))
    return folder / "estate.toml"


def timed(action: object, runs: int = 5) -> tuple[float, object]:
    took, value = [], None
    for _ in range(runs):
        began = time.perf_counter()
        value = action()  # type: ignore[operator]
        took.append(time.perf_counter() - began)
    return statistics.median(took), value


def started(command: list[str], env: dict[str, str]) -> tuple[float, float]:
    """Milliseconds until it is ready, and its resident set in MB."""
    began = time.perf_counter()
    process = subprocess.Popen(command, env={**os.environ, **env}, cwd=HERE, stderr=subprocess.PIPE)
    try:
        for line in process.stderr:  # type: ignore[union-attr]
            if b"is ready" in line:
                took = (time.perf_counter() - began) * 1e3
                pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
                return took, pages * os.sysconf("SC_PAGE_SIZE") / 1e6
        raise RuntimeError("the courier ended")
    finally:
        process.kill()
        process.wait()


def starts(folder: Path) -> None:
    from estates import estate

    write(render(check(estate(folder, (0x6C01, 0x6C02))).loaded), folder / "out")
    (folder / "platform").mkdir()
    config = {
        "name": "n0",
        "seed": "5",
        "settings": settings(),
        "known": {"rev": 0, "targets": []},
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 1024, "disk_mb": 3},
    }
    (folder / "config.json").write_text(json.dumps(config))
    env = {
        "LB_NAME": "n0",
        "LB_LISTEN": "127.0.0.1:0",
        "LB_STATE": f"{folder}/platform",
        "LB_CONFIG": f"{folder}/config.json",
        "LB_DISCOVERY": "127.0.0.1:9",
    }
    python = [sys.executable, "-m"]
    for name, command, more in (
        ("run, as the platform starts it", [*python, "madderbeam"], env),
        ("run --config", [*python, "madderbeam", "run", "--config", f"{folder}/out/notices.json"], {}),
        ("a sidecar of up", [*python, "madderbeam.host.standalone", f"{folder}/out/notices.json"], {}),
    ):
        figures = [started(command, more) for _ in range(RUNS)]
        took, memory = (statistics.median(f[n] for f in figures) for n in (0, 1))
        print(f"{name}: ready in {took:.0f} ms, {memory:.1f} MB (median of {RUNS})")


def main() -> int:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        path = large(folder)
        seconds, report = timed(lambda: check(path))
        assert not report.problems, report.problems[:3]  # type: ignore[attr-defined]
        print(f"check of {APPLICATIONS} applications and {PARTNERS * ENDPOINTS} endpoints: {seconds:.2f} s")
        took, files = timed(lambda: render(report.loaded))  # type: ignore[attr-defined]
        print(f"render: {took:.2f} s, {sum(len(f.text) for f in files) / 1e6:.1f} MB")  # type: ignore[attr-defined]
        (folder / "small").mkdir()
        starts(folder / "small")
    return 0 if seconds <= MOST_S else 1


if __name__ == "__main__":
    sys.exit(main())
