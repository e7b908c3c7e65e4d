# Shortcuts for developers; the build is defined in CMakeLists.txt.
BUILD ?= build
JOBS ?= $(shell nproc)
C_SOURCES = $(shell git ls-files -co --exclude-standard 'packages/*.c' 'platform/*.c' 'standins/*.c' | grep -v pb-c)
FORMATTED = $(shell git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' | grep -v pb-c)

.PHONY: all packages build format format-check lint test soak fuzz check check-sanitize demo install

all: build

packages:
	.ci/packages

build:
	cmake -S . -B $(BUILD) >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

format:
	clang-format -i $(FORMATTED)

format-check:
	clang-format --dry-run --Werror $(FORMATTED)

lint: build
	printf '%s\n' $(C_SOURCES) | xargs -P $(JOBS) -n 4 clang-tidy -p $(BUILD) --quiet 2>/dev/null

test: build
	ctest --test-dir $(BUILD) --output-on-failure

soak: build
	bench/run soak --seed 1
	bench/run soak --seed 2

check: packages format-check lint test soak fuzz

demo: packages build
	python3 bench/demo.py

install: build
	cmake --install $(BUILD)

# Runs each fuzz target with a fixed number of inputs, from its committed corpus.
fuzz: packages
	cmake -S . -B build-fuzz -DFUZZ=ON -DCMAKE_C_COMPILER=clang \
	  -DCMAKE_CXX_COMPILER=clang++ >/dev/null
	cmake --build build-fuzz -j $(JOBS) --target fuzz
	ctest --test-dir build-fuzz --output-on-failure -R '^fuzz_'

# Runs all tests with address and undefined-behaviour checks, then with thread
# checks.
check-sanitize: packages
	cmake -S . -B build-asan -DSANITIZE=address,undefined >/dev/null
	cmake --build build-asan -j $(JOBS)
	ctest --test-dir build-asan --output-on-failure
	cmake -S . -B build-tsan -DSANITIZE=thread >/dev/null
	cmake --build build-tsan -j $(JOBS)
	ctest --test-dir build-tsan --output-on-failure
