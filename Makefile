# The two commands of the README are `make demo` and `make test`.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: demo test lint unit format measure

$(VENV)/.ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -e '.[test]'
	touch $@

demo: $(VENV)/.ready
	$(BIN)/python -m skylarkfold demo $(if $(JSON),--json,)

test: lint unit

lint: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/python -m flake8 .

unit: $(VENV)/.ready
	$(BIN)/python -m skylarkfold.tests

format: $(VENV)/.ready
	$(BIN)/ruff format .

measure: $(VENV)/.ready
	$(BIN)/python -m pip install --quiet -e '.[plots]'
	$(BIN)/python -m skylarkfold.report $(NAMES)
