VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: install demo test lint format lock binary

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: install
	$(BIN)/python -m examples.demo

test: install lint
	$(BIN)/python -m pytest

lint: install
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: install
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

lock:
	$(BIN)/python -m piptools compile --quiet --extra dev --generate-hashes \
	  --no-emit-index-url --no-emit-find-links --no-emit-trusted-host \
	  --allow-unsafe --output-file requirements.lock pyproject.toml
	$(BIN)/python -m piptools compile --quiet --constraint=requirements.lock \
	  --generate-hashes --no-emit-index-url --no-emit-find-links \
	  --no-emit-trusted-host --allow-unsafe \
	  --output-file requirements-run.lock pyproject.toml
	$(BIN)/python -m piptools compile --quiet --constraint=requirements.lock \
	  --generate-hashes --no-emit-index-url --no-emit-find-links \
	  --no-emit-trusted-host --allow-unsafe \
	  --output-file requirements-node.lock requirements-node.in

binary: install
	rm -rf build/site && mkdir -p build/site dist
	$(BIN)/python -m pip install --quiet --require-hashes --target build/site \
	  -r requirements-run.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
	  --target build/site .
	$(BIN)/shiv --compressed --site-packages build/site -o dist/ragwortferry \
	  -p '/usr/bin/env python3' -e ragwortferry.__main__:main
