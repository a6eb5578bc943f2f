# Everything runs in .venv, which is set up once from pinned requirements.
PYTHON ?= python3
BIN := .venv/bin

# Seeds of the soak, such as 7 or 1-50; if empty, one random seed.
SEEDS ?=

.PHONY: demo test test-input test-waiting test-others lint format generate soak \
	measure-rollout measure-service measure-control measure-state \
	measure-statements

demo: .venv/.ready
	$(BIN)/python -m bench.demo

# Tests that mostly wait for processes that they started. They run in parallel with the
# other tests.
WAITING := tests/scenarios tests/test_state_processes.py

# Tests that load one process with input outside the limits. They run alone, so that no
# other load adds to what they measure.
INPUT := tests/test_caller_input_processes.py tests/test_daemon_input_processes.py

test: lint
	$(MAKE) test-input
	$(MAKE) --output-sync=target -j2 test-waiting test-others

test-input: .venv/.ready
	$(BIN)/python -m pytest -p no:cacheprovider $(INPUT)

test-waiting: .venv/.ready
	$(BIN)/python -m pytest -p no:cacheprovider $(WAITING)

test-others: .venv/.ready
	$(BIN)/python -m pytest -p no:cacheprovider $(WAITING:%=--ignore=%) $(INPUT:%=--ignore=%)

soak: .venv/.ready
	$(BIN)/python -m soak $(SEEDS)

lint: .venv/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: .venv/.ready
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

measure-rollout measure-service measure-control measure-state measure-statements: .venv/.ready
	$(BIN)/python -m bench.$(subst -,_,$@)

# Needs grpcio-tools, which nothing else needs, since the generated code is committed.
generate: .venv/.ready
	PATH=$(CURDIR)/$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc -I. \
		--python_out=. --grpclib_python_out=. briarbeam/wire/control.proto

.venv/.ready: requirements.txt requirements-develop.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-develop.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation -e .
	touch $@
