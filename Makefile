# Every target makes the virtual environment first, from the lock files.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
INSTALLED := $(VENV)/.installed
PYTEST_ARGS ?=
# Scenarios start real processes and mostly wait, so a few run side by side.
PYTEST_WORKERS ?= 4
FUZZ_EXAMPLES ?= 500

.PHONY: help demo test fuzz check format bench docs clean

help:
	@echo "make demo    run the whole system on this machine, with failures"
	@echo "make test    run all tests"
	@echo "make fuzz    run the property tests for long, with new random cases"
	@echo "make check   formatter check, linter and type checker"
	@echo "make format  format the code"
	@echo "make bench   measure the decisions and the costs"
	@echo "make docs    write the generated pages and build the site"

$(INSTALLED): requirements.lock requirements-dev.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	@touch $@

demo: $(INSTALLED)
	$(BIN)/python -m demo.demo

test: $(INSTALLED)
	$(BIN)/python -m pytest -n $(PYTEST_WORKERS) $(PYTEST_ARGS)

fuzz: $(INSTALLED)
	PISTACHIODEAL_FUZZ_EXAMPLES=$(FUZZ_EXAMPLES) $(BIN)/python -m pytest -n $(PYTEST_WORKERS) -o timeout=0 -p tests.fuzz_plugin -m fuzz $(PYTEST_ARGS)

check: $(INSTALLED)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(INSTALLED)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(INSTALLED)
	$(BIN)/python -m bench

docs: $(INSTALLED)
	$(BIN)/python -m pistachiodeal.config.reference docs/user-guide
	$(BIN)/mkdocs build --strict

clean:
	rm -rf $(VENV) build site *.egg-info .pytest_cache .mypy_cache .ruff_cache
