#!/usr/bin/env bash
# The stand-ins are Python files that need nothing but the standard library; this only
# checks that Python 3.11 compiles them, and leaves nothing behind.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX="$(mktemp -d)"
export PYTHONPYCACHEPREFIX
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
python3 -m py_compile standins.py deployment.py ./*/play.py
