#!/bin/sh
cd "$(dirname "$0")/../.." && exec .venv/bin/python -B review/6/case.py
