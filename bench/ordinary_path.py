"""What a message costs a courier on the ordinary path: CPU and wall time of its process on real sockets.

    python bench/ordinary_path.py                          # this tree, 5 runs of 4,000 messages
    python bench/ordinary_path.py --other FOLDER --module NAME    # against another tree's courier, in turn

The courier runs as a process of its own with its journal in a temporary folder; clients, endpoint and
discovery are stand-ins in this process. Each run prints microseconds of CPU (user and system) a message; with
two trees also the ratio of their medians, from runs that alternate.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).parent.parent
sys.path.insert(0, str(HERE / "tests"))
from loopback import Client, Discovery, Endpoint, settings  # noqa: E402

CLIENTS = 8


def raw_settings() -> dict:
    raw = settings(familyInfo__maxCalls=64, policyLimits__maxOpen=400)
    raw["tenants"][0]["quotaPerS"] = 1e6
    return raw


async def run(root: Path, module: str, messages: int) -> float:
    """Microseconds of CPU that a message costs the courier of this tree."""
    endpoint, discovery = await Endpoint().start(), await Discovery().start()
    discovery.target("a", endpoint.port, 7, rate=1e6)
    with tempfile.TemporaryDirectory() as folder:
        (Path(folder) / "state").mkdir()
        config = {
            "name": "n0",
            "seed": "5",
            "known": discovery.whole(),
            "settings": raw_settings(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 30},
        }
        (Path(folder) / "config.json").write_text(json.dumps(config))
        env = {
            **os.environ,
            "LB_NAME": "n0",
            "LB_LISTEN": "127.0.0.1:0",
            "LB_STATE": f"{folder}/state",
            "LB_CONFIG": f"{folder}/config.json",
            "LB_DISCOVERY": f"127.0.0.1:{discovery.port}",
        }
        courier = subprocess.Popen([sys.executable, "-m", module], env=env, cwd=root, stderr=subprocess.PIPE)
        try:
            port = 0
            while not port:
                line = courier.stderr.readline().decode()
                if not line:
                    raise RuntimeError(f"the courier of {root} ended with {courier.wait()}")
                if "is ready on port" in line:
                    port = int(line.split("is ready on port ")[1].split()[0])
            before = cpu(courier.pid)
            await asyncio.gather(*(hand_in(port, n, messages // CLIENTS) for n in range(CLIENTS)))
            most = messages // CLIENTS * CLIENTS
            for _ in range(500):  # a message that ends by a notice makes no call
                if endpoint.calls.qsize() + discovery.finals.qsize() >= most:
                    break
                await asyncio.sleep(0.01)
            return (cpu(courier.pid) - before) / messages * 1e6
        finally:
            courier.kill()
            courier.wait()
            await endpoint.stop()
            await discovery.stop()


async def hand_in(port: int, number: int, messages: int) -> None:
    client = await Client().open(port)
    for n in range(messages):
        tries = 0
        while (answer := await client.put(f"{tries:02x}{number:02x}{n:012x}", body=b"x" * 200)) != "+OK":
            assert answer.startswith("-BUSY"), answer
            tries += 1
            await asyncio.sleep(0.05)
    client.writer.close()


def cpu(pid: int) -> float:
    """Seconds of CPU that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--other", type=Path, metavar="FOLDER", help="another tree to compare with")
    parser.add_argument("--module", default="madderbeam", metavar="NAME", help="its package")
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--messages", type=int, default=4000)
    args = parser.parse_args()
    trees = [(HERE, "madderbeam")] + ([(args.other, args.module)] if args.other else [])
    costs: list[list[float]] = [[] for _ in trees]
    for _ in range(args.runs):
        for cost, (root, module) in zip(costs, trees, strict=True):
            cost.append(asyncio.run(run(root, module, args.messages)))
    for cost, (_, module) in zip(costs, trees, strict=True):
        print(
            f"{module}: {statistics.median(cost):.0f} us of CPU a message (median of {args.runs}; "
            f"{min(cost):.0f} to {max(cost):.0f})"
        )
    if len(costs) > 1:
        print(f"ratio {statistics.median(costs[0]) / statistics.median(costs[1]):.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
