# Convenience targets around the CMake build.
JOBS ?= 6
BUILD ?= build

.PHONY: all deps build build-asan run platform-day test test-asan lint format bench clean

all: build

deps:
	@./scripts/install-deps

build: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

build-asan: deps
	@cmake -S . -B build-asan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DBAOBABSWITCH_SANITIZE=ON >/dev/null
	@cmake --build build-asan -j $(JOBS)

run: build
	@./scripts/run-demo $(BUILD)/bin

# Runs the tests tagged [day]: nodes of the mesh with stand-ins for store, targets and callers, without and with faults.
platform-day: build
	@$(BUILD)/bin/test_mesh "[day]"

test: build
	@cd $(BUILD) && ctest --output-on-failure -j 4

# Runs the tests under AddressSanitizer and UBSan, except those that start processes.
test-asan: build-asan
	@cd build-asan && ctest --output-on-failure -j 8 -E '^(integration|bench|soak)$$'

lint: build
	@./scripts/lint $(BUILD)

format: deps
	@git ls-files -co --exclude-standard 'platform/*.cpp' 'platform/*.h' 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h' | xargs clang-format -i

bench: build
	@./scripts/run-bench $(BUILD)/bin

clean:
	@rm -rf build build-asan
