# Entry points for people and CI. Each works on a fresh machine.
SHELL := /bin/bash
BUILD ?= build
JOBS ?= $(shell nproc)
SEEDS ?= 1..200
SOURCES = $(shell git ls-files -co --exclude-standard '*.cc' '*.h')

.PHONY: check demo soak fault-soak measure install build format format-check lint test sanitize

check: install format-check build lint test

install:
	@tools/install_packages.sh

build:
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

format:
	@clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run --Werror $(SOURCES)

lint: build
	@tools/lint.sh $(BUILD) $(JOBS)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: install build
	@tools/demo.sh $(BUILD)

soak: install build
	@$(BUILD)/testing/soak --seeds=$(SEEDS)

# The gateway's processes under faults from outside. With
# SOAK_OPTIONS=--endpoint-faults or --all-endpoint-faults, mostly endpoints are
# faulty.
fault-soak: install build
	@$(BUILD)/testing/gateway/fault_soak --program=$(BUILD)/programs/bluebellgw --seeds=$(SEEDS) $(SOAK_OPTIONS)

measure: install build
	@$(BUILD)/testing/measure --out=measure.json

# The tests under AddressSanitizer and UBSan, then those with threads under
# ThreadSanitizer.
sanitize: install
	@tools/sanitize.sh $(JOBS)
