# Everything runs in .venv, which is set up once from pinned requirements.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test lint format generate measure-rollout measure-service measure-control

demo: .venv/.ready
	$(BIN)/python -m bench.demo

test: lint
	$(BIN)/python -m pytest

lint: .venv/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: .venv/.ready
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

measure-rollout measure-service measure-control: .venv/.ready
	$(BIN)/python -m bench.$(subst -,_,$@)

# Needs grpcio-tools, which nothing else does; the generated code is committed.
generate: .venv/.ready
	PATH=$(CURDIR)/$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc -I. \
		--python_out=. --grpclib_python_out=. briarbeam/wire/control.proto

.venv/.ready: requirements.txt requirements-develop.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-develop.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation -e .
	touch $@
