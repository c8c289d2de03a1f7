VENV ?= .venv
PYTHON := $(VENV)/bin/python
# Test processes; fault tests start daemons, so this stays below the core count.
WORKERS ?= 4

# Seeds of a soak by hand; fresh ones.
SEEDS ?= 50

.PHONY: run test fuzz lint bench capacity soak venv

venv: $(VENV)/.ready

$(VENV)/.ready: requirements.lock
	python3.11 -m venv $(VENV)
	$(PYTHON) -m pip install -q -r requirements.lock
	$(PYTHON) -m pip install -q --no-deps -e .
	touch $@

run: venv
	$(PYTHON) -m bench.run_demo

test: venv
	$(PYTHON) -m pytest -n $(WORKERS) --dist loadfile

# Property tests with fresh seeds and more examples.
fuzz: venv
	HYPOTHESIS_PROFILE=fuzz $(PYTHON) -m pytest -n $(WORKERS) -m "not processes"

lint: venv
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

bench: venv
	$(PYTHON) -m bench.measures

soak: venv
	PYTHONPATH=platform $(PYTHON) -m soak --count $(SEEDS)

capacity: venv
	$(PYTHON) -m bench.capacity
	$(PYTHON) -m bench.capacity_page
