# Every target makes its own environment first.
VENV := .venv
PY := $(VENV)/bin/python
BENCH ?= all
SEED ?= 1
RUNS ?= 1

.PHONY: demo test bench soak check format

demo: $(VENV)/.run
	$(PY) -m bench.demo

test: $(VENV)/.dev
	$(PY) -m tests

bench: $(VENV)/.run
	$(PY) -m bench $(BENCH)

check: $(VENV)/.dev
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 currantwall platform standins bench soak tests
	$(PY) -m tests.layers

format: $(VENV)/.dev
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

$(VENV)/.run: requirements.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
		-r requirements.txt
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
		--no-deps --editable .
	touch $@

$(VENV)/.dev: requirements-dev.txt $(VENV)/.run
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
		-r requirements-dev.txt
	touch $@

soak: $(VENV)/.run
	$(PY) -m soak --seed $(SEED) --runs $(RUNS)
