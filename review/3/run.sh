#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 python3 review/3/case.py
