PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
N_TEST_PROCESSES ?= 4

.PHONY: demo test prove check clean

$(VENV)/.installed: pyproject.toml requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/celeryfold demo

# The tests that KNOWN-RED.txt lists are printed and passed over.
test: $(VENV)/.installed
	@if [ -f KNOWN-RED.txt ]; then echo "known red, passed over:"; cat KNOWN-RED.txt; fi
	$(BIN)/python -m pytest -n $(N_TEST_PROCESSES) --dist loadfile \
		$$(sed -n 's/^test: /--deselect=/p' KNOWN-RED.txt)

prove: $(VENV)/.installed
	HYPOTHESIS_PROFILE=prove $(BIN)/python -m pytest -m proof

check: $(VENV)/.installed
	$(BIN)/ruff format --check celeryfold
	$(BIN)/ruff check celeryfold
	$(BIN)/mypy celeryfold

clean:
	rm -rf $(VENV) build *.egg-info .pytest_cache .ruff_cache .mypy_cache .hypothesis
