#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the courier: the stand-ins are Python, so they are
# only checked to load. It needs what the line `build` of the deploy file leaves, and no network.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=review/standins_2/fallback .venv/bin/python -B -c "import review.standins_2.kafka, review.standins_2.kit, review.standins_2.sidecar, google_crc32c"
