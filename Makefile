# Everything runs from the locked environment in $(VENV).
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: env demo test check behave format bench docs clean

env: $(VENV)/.locked

$(VENV)/.locked: requirements.lock requirements-runtime.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: env
	$(BIN)/python -m standins.demo

check: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: check
	$(BIN)/python -m features.run

format: env
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf build .mypy_cache .ruff_cache .hypothesis

docs: env
	$(BIN)/python -m cactusdyke.observe.catalogue > docs/events.md
