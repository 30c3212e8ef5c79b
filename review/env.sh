# The Kafka front needs google-crc32c, one of the project's own optional packages. Where review/build.sh could
# not install it, a module of the same name and result stands in.
.venv/bin/python -c "import google_crc32c" 2>/dev/null || export PYTHONPATH="$PWD/review/fallback${PYTHONPATH:+:$PYTHONPATH}"
