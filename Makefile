PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup demo fleet test lint format bench capacity experiment chaos soak clean

setup: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

# Runs the workload, a roll-out and a zone outage on a fleet and checks them.
demo: setup
	$(BIN)/python -m standins.demo

# Runs the demo's fleet until it is interrupted.
fleet: setup
	$(BIN)/python -m standins.demo --keep

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff check src standins bench tests
	$(BIN)/ruff format --check src standins bench tests
	$(BIN)/flake8 src
	$(BIN)/mypy
	$(BIN)/lint-imports

format: setup
	$(BIN)/ruff check --fix src standins bench tests
	$(BIN)/ruff format src standins bench tests

bench: setup
	$(BIN)/python -m bench

capacity: setup
	$(BIN)/python -m bench.capacity

# Compares the router with a naive one and writes docs/EXPERIMENT.md.
experiment: setup
	$(BIN)/python -m bench.experiment

# Injects random pairs of faults for ten minutes; SEED=2 gives another run.
SEED ?= 1
chaos: setup
	$(BIN)/python -m bench.chaos --seed $(SEED)

# Injects random faults around entries that forward raw requests. One run for
# each of SEEDS seeds from FIRST on.
SEEDS ?= 8
FIRST ?= 1
soak: setup
	$(BIN)/python -m bench.soak --seeds $(SEEDS) --first $(FIRST)

clean:
	rm -rf $(VENV)
