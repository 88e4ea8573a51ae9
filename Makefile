# Commands of the project; each one builds the environment first if it is missing.
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: bench-edge results proofs-page test check demo up bench capacity proofs proofs-mutants soak format bench-relay

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --no-deps --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

test: check
	$(BIN)/pytest -n 6 -m "not alone"
	$(BIN)/pytest -m alone

demo: $(STAMP)
	$(BIN)/python -m tests.demo

up: $(STAMP)
	$(BIN)/python -m tests.demo --up

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

bench-relay: $(STAMP)
	$(BIN)/python -m bench.relay

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

proofs: $(STAMP)
	$(BIN)/python -m tests.proofs

proofs-mutants: $(STAMP)
	$(BIN)/python -m tests.proofs --mutants

proofs-page: $(STAMP)
	$(BIN)/python -m tests.proofs --page

SECONDS ?= 20
SEED ?= 1
COUNT ?= 1
PROGRAM ?= edge
VMS ?= 4

soak: $(STAMP)
	$(BIN)/python -m tests.soak --program $(PROGRAM) --seconds $(SECONDS) --seed $(SEED) --count $(COUNT) --vms $(VMS)

bench: $(STAMP)
	$(BIN)/python -m bench.policy

results: $(STAMP)
	$(BIN)/python -m bench.results

bench-edge: $(STAMP)
	$(BIN)/python -m bench.edge_latency
