VENV ?= .venv
PYTHON ?= $(VENV)/bin/python
BOOTSTRAP ?= python3

.PHONY: demo test lint unit format bench matrix

CASES ?=
STEPS ?=
FAULTS ?=
SECONDS ?= 30
SEED ?= 1

$(VENV)/ready: | pyproject.toml constraints.txt
	$(BOOTSTRAP) -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --constraint constraints.txt \
		--editable '.[development]'
	touch $(VENV)/ready

demo: $(VENV)/ready
	$(PYTHON) -m tools.demo

lint: $(VENV)/ready
	$(PYTHON) -m ruff format --check baobabgap tools
	$(PYTHON) -m ruff check baobabgap tools
	$(PYTHON) -m flake8 baobabgap tools
	$(PYTHON) -m mypy

unit: $(VENV)/ready
	$(PYTHON) -m tools.run_tests

test: lint unit

format: $(VENV)/ready
	$(PYTHON) -m ruff check --fix baobabgap tools
	$(PYTHON) -m ruff format baobabgap tools

bench: $(VENV)/ready
	$(PYTHON) -m tools.bench --cases='$(CASES)' --seconds=$(SECONDS) \
		--seed=$(SEED)

matrix: $(VENV)/ready
	$(PYTHON) -m tools.matrix --steps='$(STEPS)' --faults='$(FAULTS)' \
		--seed=$(SEED)
