# One command each: `make demo` runs the main job, `make test` the tests.
# Both create the virtual environment when it is missing or out of date.
VENV ?= .venv
PYTHON ?= python3
RUN = PYTHONPATH=src $(VENV)/bin/python
STAMP = $(VENV)/.installed

.PHONY: demo test lint format generate setup bench-budget bench-route

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

setup: $(STAMP)

demo: $(STAMP)
	$(RUN) -m jasminetally demo

test: lint
	$(RUN) -m pytest -n 4 -m "not alone"
	$(RUN) -m pytest -m alone

lint: $(STAMP)
	$(VENV)/bin/ruff format --check src testing platform
	$(VENV)/bin/ruff check src testing platform

format: $(STAMP)
	$(VENV)/bin/ruff format src testing platform
	$(VENV)/bin/ruff check --fix src testing platform

# Needs the thrift compiler; the output is committed, so a build does not.
generate:
	thrift --gen py -out src/jasminetally/_wire/gen src/jasminetally/_wire/peer.thrift

bench-budget: $(STAMP)
	$(RUN) -m jasminetally bench budget --deployment zadruga --seed 1 --json
	$(RUN) -m jasminetally bench budget --deployment pieghevole --seed 1 --json

bench-route: $(STAMP)
	$(RUN) -m jasminetally bench route --seed 1 --json
