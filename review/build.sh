#!/bin/sh
# Builds what the cases start besides the program itself, after the line `build` of deploy/balancer.toml. The
# stand-ins are Python files and need no build. The Kafka front of case 2 needs the project's own optional
# package google-crc32c (pyproject.toml, extra `kafka`); without a mirror review/fallback stands in for it.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || exit 2
.venv/bin/python -c "import google_crc32c" 2>/dev/null ||
    .venv/bin/pip -q --retries 0 --timeout 5 install google-crc32c==1.9.0 2>/dev/null ||
    echo "google-crc32c is not to be had here: review/fallback stands in" >&2
.venv/bin/python -m compileall -q review || exit 2
