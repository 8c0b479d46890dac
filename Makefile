# Chores of the project; each target prepares what it needs.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup demo test lint format docs ci stats clean

setup: .venv/.ready

.venv/.ready: requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet -r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --no-deps -e .
	touch .venv/.ready

demo: setup
	$(BIN)/python -m tools.demo

test: setup
	$(BIN)/python -m tools.run_tests

lint: setup
	$(BIN)/black --check --quiet src fakes tests tools bench || ($(BIN)/black --check src fakes tests tools bench; exit 1)
	$(BIN)/ruff check src fakes tests tools bench
	PYTHONPATH=src $(BIN)/lint-imports

format: setup
	$(BIN)/black --quiet src fakes tests tools bench
	$(BIN)/ruff check --fix --quiet src fakes tests tools bench

docs: setup
	$(BIN)/python -m tools.docs

stats: setup
	$(BIN)/python -m tools.stats

ci:
	bash .ci/run

clean:
	rm -rf .venv build src/*.egg-info
