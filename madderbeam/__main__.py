"""`python -m madderbeam`: with no arguments one courier, as the environment has it; else a command."""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from madderbeam.cli import main as command

        sys.exit(command())
    # A SIGHUP before there is a handler would end the process: it waits until there is one (host/process.py).
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    # The courier alone: nothing of the commands is loaded, it starts in 32 MB.
    from madderbeam.host.process import main

    sys.exit(main())
