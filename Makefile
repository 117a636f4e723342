PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup demo test soak lint format capacity bench clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(BIN)/python -m standins.demo

test: setup
	$(BIN)/python -m pytest

soak: setup
	$(BIN)/python -m tests.soak

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 azurewood standins benchmarks tests

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

capacity: setup
	$(BIN)/python -m benchmarks.capacity

bench: setup
	$(BIN)/python -m benchmarks.throughput

clean:
	rm -rf $(VENV) build dist *.egg-info
