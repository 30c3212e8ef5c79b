"""The real courier's process: signals and wiring."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
import time

from hopmill.net.config import Config, ConfigError, load
from hopmill.net.host import Host
from hopmill.net.reload import Reloader


class Bounded(logging.Filter):
    """At most so many lines a second: a flood of them would stall the loop."""

    def __init__(self, a_second: int) -> None:
        super().__init__()
        self.a_second, self.second, self.count = a_second, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.count = second, 0
        self.count += 1
        return self.count <= self.a_second


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    host = Host(loop, config)
    reloader = Reloader(loop, os.environ, host.move)
    loop.add_signal_handler(signal.SIGHUP, reloader.hup)  # unhandled it would end the process
    loop.add_signal_handler(signal.SIGTERM, host.terminate)
    loop.add_signal_handler(signal.SIGINT, host.terminate)
    port = await host.start()
    logging.info("%s is ready on port %d with %d messages restored", config.name, port,
                 len(host.journal.held))
    await host.closed
    reloader.stop()
    host.close()


def main() -> int:
    handler = logging.StreamHandler()
    handler.addFilter(Bounded(50))
    logging.basicConfig(level=logging.INFO, handlers=[handler],
                        format="%(asctime)s %(levelname)s %(message)s")
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"hopmill: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(config))
    except OSError as error:
        print(f"hopmill: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
