# Entry point for development. VENV may name an existing environment.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
ARGS ?=
WORKERS ?= 6

.PHONY: guards soak bench bench-forwarder capacity clean control-cost demo env explore failure-matrix format help lint measure \
	measure-cutoffs measure-fleetnews measure-origins measure-quarantine measure-ratelimits process-check proto test

help:
	@echo "make demo     run three zones with stand-in back ends (ARGS=--serve keeps them running)"
	@echo "make test     run the whole test suite"
	@echo "make bench    measure the relay against direct calls"
	@echo "make bench-forwarder  measure the forwarder against direct calls"
	@echo "make lint     check formatting, style and types"
	@echo "make explore  explore the replication group under faults (ARGS='--seed 1 --steps 200000', or --replacements 2)"
	@echo "make measure  measure the decisions on seeded traces (ARGS=--report=DIR draws plots)"
	@echo "make measure-cutoffs  compare rules for instances that are cut off"
	@echo "make measure-fleetnews  measure the bytes between zones of polls of the fleet state"
	@echo "make measure-origins  compare rules for streams of several software versions"
	@echo "make measure-quarantine  compare rules for requests that crash engines"
	@echo "make measure-ratelimits  compare rules for endpoints that name a limit"
	@echo "make capacity measure the slopes of docs/CAPACITY.md"
	@echo "make format   format the sources"
	@echo "make process-check    end real processes under load (ARGS='kill --rounds 3' runs one check)"
	@echo "make soak     disrupt real processes of the deploy file (ARGS='--seed 1 --runs 50 --seconds 20')"
	@echo "make failure-matrix   run 1,000 random schedules of failures and 10,000 jobs"

env: $(VENV)/.stamp

$(VENV)/.stamp: requirements.txt constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $@

# One worker runs all tests of a file, since they share the processes that they start.
test: env
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadfile $(ARGS)

guards: env
	$(BIN)/python -m tests.guards $(ARGS)

# 1,000 random schedules of failures and 10,000 non-repeatable jobs take several minutes.
failure-matrix: env
	SHALLOTMUX_SCHEDULES=1000 SHALLOTMUX_JOBS=10000 $(BIN)/python -m pytest $(ARGS) \
		tests/requests/test_failures.py tests/requests/test_jobs.py

demo: env
	$(BIN)/python -m shallotmux.demo $(ARGS)

explore: env
	$(BIN)/python -m shallotmux.checking $(ARGS)

process-check: env
	$(BIN)/python -m shallotmux.checking.processes $(ARGS)

soak: env
	$(BIN)/python -m shallotmux.checking.programs $(ARGS)

measure: env
	$(BIN)/python -m shallotmux.measure $(ARGS)

measure-cutoffs: env
	$(BIN)/python -m shallotmux.measure.cutoffs $(ARGS)

measure-fleetnews: env
	$(BIN)/python -m shallotmux.measure.fleetnews $(ARGS)

measure-origins: env
	$(BIN)/python -m shallotmux.measure.origins $(ARGS)

measure-quarantine: env
	$(BIN)/python -m shallotmux.measure.quarantine $(ARGS)

measure-ratelimits: env
	$(BIN)/python -m shallotmux.measure.ratelimits $(ARGS)

capacity: env
	$(BIN)/python -m shallotmux.measure.capacity $(ARGS)

format: env
	$(BIN)/ruff check --fix shallotmux tests
	$(BIN)/ruff format shallotmux tests

lint: env
	$(BIN)/ruff format --check shallotmux tests deploy
	$(BIN)/ruff check shallotmux tests deploy
	$(BIN)/flake8 shallotmux tests deploy
	$(BIN)/mypy

control-cost: env
	$(BIN)/python -m shallotmux.membership.cost $(ARGS)

# Needs grpcio-tools and mypy-protobuf, which are not requirements: the generated modules are committed.
proto:
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --mypy_out=. --grpclib_python_out=. \
		shallotmux/transport/_peer.proto

bench: env
	$(BIN)/python -m shallotmux.bench $(ARGS)

bench-forwarder: env
	$(BIN)/python -m shallotmux.bench.forwarder $(ARGS)

clean:
	rm -rf build dist .mypy_cache .ruff_cache
