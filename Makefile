# Targets set up what they need first; set PYTHON to another interpreter of 3.11 or later.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.coralfall-stamp
SOURCES := src tests benchmarks examples .ci
RUN_FLAGS ?=
TEST_FLAGS ?=
# Folder for JUnit reports; none are written unless it is set.
TEST_REPORTS ?=

# Tests run in two halves at once: those of `coralfall steer`, and all others.
STEER_TESTS := tests.platform_adapter tests.simulation tests.traffic
OTHER_TESTS := $(filter-out $(STEER_TESTS),$(patsubst tests/%/__init__.py,tests.%,$(wildcard tests/*/__init__.py))) \
  $(patsubst tests/%.py,tests.%,$(wildcard tests/test_*.py))

export PYTHONPATH := src

.PHONY: setup run test test-steer test-others lint format binary bench capacity

setup: $(STAMP)

$(STAMP): pyproject.toml requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	PIP_CONSTRAINT=requirements.lock $(BIN)/python -m pip install -q --disable-pip-version-check -e '.[dev]'
	touch $@

run: setup
	$(BIN)/coralfall dev $(RUN_FLAGS)

test: setup
	$(MAKE) --no-print-directory --output-sync=target -j2 -k test-steer test-others

test-steer: TESTS := $(STEER_TESTS)
test-others: TESTS := $(OTHER_TESTS)
test-steer test-others: setup
	$(BIN)/python -m nose2 $(TEST_FLAGS) $(if $(TEST_REPORTS),--plugin nose2.plugins.junitxml \
	  --junit-xml --junit-xml-path $(TEST_REPORTS)/$@.xml) $(TESTS)

lint: setup
	$(BIN)/black --check -q $(wildcard $(SOURCES))
	$(BIN)/ruff check -q $(wildcard $(SOURCES))
	$(BIN)/mypy

format: setup
	$(BIN)/black -q $(wildcard $(SOURCES))
	$(BIN)/ruff check -q --fix $(wildcard $(SOURCES))

# One file that unpacks itself once, into SHIV_ROOT (~/.shiv unless set), and runs in the
# same process. On a VM without disks set SHIV_ROOT to a directory in memory.
binary: setup
	mkdir -p dist
	PATH="$(CURDIR)/$(BIN):$$PATH" PIP_CONSTRAINT=requirements.lock $(BIN)/shiv \
	  --console-script coralfall --compressed --reproducible --output-file dist/coralfall \
	  --python "/usr/bin/env python$$($(BIN)/python -c 'import sys; print("%d.%d" % sys.version_info[:2])')" \
	  --quiet .

bench: setup
	$(BIN)/python -m benchmarks.decisions
	$(BIN)/python -m benchmarks.fleet_cost

capacity: setup
	$(BIN)/python -m benchmarks.capacity
