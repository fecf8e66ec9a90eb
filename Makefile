# Each target prepares the virtual environment it needs.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: venv lint test demo bench capacity docs format

venv: $(VENV)/.ready

$(VENV)/.ready: requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

format: venv
	$(BIN)/ruff check --fix src features tools
	$(BIN)/ruff format src features tools

lint: venv
	$(BIN)/ruff format --check src features tools
	$(BIN)/ruff check src features tools
	$(BIN)/mypy

test: venv
	$(BIN)/python tools/run_tests.py

demo: venv
	$(BIN)/python -m waxwing_testbed.demo

bench: venv
	$(BIN)/python -m waxwing_testbed.bench

capacity: venv
	$(BIN)/python -m waxwing_testbed.capacity

docs: venv
	$(BIN)/python tools/settings_reference.py
