"""`python -m madderbeam`: without arguments runs a courier configured by the environment, else a command."""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from madderbeam.cli import main as command

        sys.exit(command())
    # SIGHUP would end the process until its handler is installed (host/process.py): block it until then.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    # The commands are not imported here, so that a courier starts in 32 MB.
    from madderbeam.host.process import main

    sys.exit(main())
