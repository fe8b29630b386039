# Every target sets up what it needs: Python 3.11 and make are enough.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
FLEET ?= lahore
RUN := PYTHONPATH=src:. $(BIN)/python

.PHONY: demo up test bench binary format lint types unit pages

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check \
	    --require-hashes --no-deps -r requirements.lock
	$(BIN)/python -m pip install -q --disable-pip-version-check --no-deps \
	    --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(RUN) -m lab demo

up: $(STAMP)
	$(RUN) -m lab up --fleet $(FLEET)

test: lint types unit

lint: $(STAMP)
	$(BIN)/ruff format --check src lab tests examples
	$(BIN)/ruff check src lab tests examples

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP)
	$(RUN) -m pytest -n 4 --dist loadfile

pages: $(STAMP)
	$(RUN) -m lab pages

format: $(STAMP)
	$(BIN)/ruff format src lab tests examples
	$(BIN)/ruff check --fix src lab tests examples

binary: $(STAMP)
	rm -rf build/site
	mkdir -p build dist
	$(BIN)/python -m pip install -q --disable-pip-version-check \
	    --require-hashes --no-deps --target build/site \
	    -r requirements-runtime.lock
	$(BIN)/python -m pip install -q --disable-pip-version-check --no-deps \
	    --no-build-isolation --target build/site .
	$(BIN)/shiv --site-packages build/site -e lovagestage.cli:main \
	    -p "/usr/bin/env python3" -o dist/lovagestage

bench: $(STAMP)
	$(RUN) -m lab bench
