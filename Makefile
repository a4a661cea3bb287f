VENV ?= .venv
PYTHON ?= $(VENV)/bin/python
BOOTSTRAP ?= python3

.PHONY: demo test lint unit format bench slopes matrix history \
	history-control job-history job-matrix

CASES ?=
POLICIES ?=
SECONDS ?= 30
SEED ?= 1
SEEDS ?= 50
FIRST ?= 1
HISTORY_SECONDS ?= 6

$(VENV)/ready: | pyproject.toml constraints.txt
	$(BOOTSTRAP) -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --constraint constraints.txt \
		--editable '.[development]'
	touch $(VENV)/ready

demo: $(VENV)/ready
	$(PYTHON) -m tools.demo

lint: $(VENV)/ready
	$(PYTHON) -m ruff format --check baobabgap tools platform
	$(PYTHON) -m ruff check baobabgap tools platform
	$(PYTHON) -m flake8 baobabgap tools platform
	$(PYTHON) -m mypy

unit: $(VENV)/ready
	$(PYTHON) -m tools.run_tests

test: lint unit

format: $(VENV)/ready
	$(PYTHON) -m ruff check --fix baobabgap tools platform
	$(PYTHON) -m ruff format baobabgap tools platform

bench: $(VENV)/ready
	$(PYTHON) -m tools.bench --cases='$(CASES)' --policies='$(POLICIES)' \
		--seconds=$(SECONDS) --seed=$(SEED)

slopes: $(VENV)/ready
	mkdir -p var
	$(PYTHON) -m tools.slopes_members > var/slopes.jsonl
	$(PYTHON) -m tools.slopes_claims --sync_delay_ms=4 >> var/slopes.jsonl
	$(PYTHON) -m tools.slopes_links >> var/slopes.jsonl
	$(PYTHON) -m tools.slopes_decisions >> var/slopes.jsonl
	$(PYTHON) -m tools.bench --cases=wide --seconds=10 >> var/slopes.jsonl
	cat var/slopes.jsonl
	$(PYTHON) -m pip install --quiet --constraint constraints.txt matplotlib
	$(PYTHON) -m tools.plot_slopes var/slopes.jsonl docs/slopes.png

matrix: $(VENV)/ready
	$(PYTHON) -m tools.matrix --seed=$(SEED)

history: $(VENV)/ready
	$(PYTHON) -m tools.history --seeds=$(SEEDS) --first=$(FIRST) \
		--seconds=$(HISTORY_SECONDS)

job-history: $(VENV)/ready
	$(PYTHON) -m tools.job_history --seeds=$(SEEDS) --first=$(FIRST)

job-matrix: $(VENV)/ready
	$(PYTHON) -m tools.job_history.matrix --seed=$(SEED)

history-control: $(VENV)/ready
	$(PYTHON) -m tools.control_history --seeds=$(SEEDS)
