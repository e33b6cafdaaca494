# What one does most. `make` alone builds.
CONFIG ?= $(ROUTER_CONFIG)

.PHONY: build test lint run lab ci
build:
	cargo build --release --locked
test:
	cargo test --workspace --locked
lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
run: build
	target/release/chalkwalk serve --config $(CONFIG)
lab: build
	target/release/chalkwalk-testbed try
ci:
	.ci/run
