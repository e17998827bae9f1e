# Entry point for development. VENV may name an existing environment.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
ARGS ?=

.PHONY: control-cost help env format lint types test unit demo bench measure explore proto clean

help:
	@echo "make demo     run three zones with stand-in back ends (ARGS=--serve keeps them running)"
	@echo "make test     run the whole test suite"
	@echo "make lint     check formatting, style and types"
	@echo "make explore  explore the replication group under faults (ARGS='--seed 1 --steps 200000')"
	@echo "make format   format the sources"

env: $(VENV)/.stamp

$(VENV)/.stamp: requirements.txt constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $@

test: env
	$(BIN)/python -m pytest $(ARGS)

demo: env
	$(BIN)/python -m shallotmux.demo $(ARGS)

explore: env
	$(BIN)/python -m shallotmux.checking $(ARGS)

format: env
	$(BIN)/ruff check --fix shallotmux tests
	$(BIN)/ruff format shallotmux tests

lint: env
	$(BIN)/ruff format --check shallotmux tests
	$(BIN)/ruff check shallotmux tests
	$(BIN)/flake8 shallotmux tests
	$(BIN)/mypy

control-cost: env
	$(BIN)/python -m shallotmux.membership.cost $(ARGS)

# Needs grpcio-tools and mypy-protobuf, which are not requirements: the generated modules are committed.
proto:
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --mypy_out=. --grpclib_python_out=. \
		shallotmux/transport/_peer.proto

clean:
	rm -rf build dist .mypy_cache .ruff_cache
