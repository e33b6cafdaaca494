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
	cargo clippy --workspace --lib --bins --locked -- -D warnings -D missing_docs -D clippy::unwrap_used \
		-D clippy::expect_used -D clippy::panic -D clippy::too_many_lines -D clippy::todo -D clippy::dbg_macro
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked
run: build
	target/release/chalkwalk serve --config $(CONFIG)
lab: build
	target/release/chalkwalk-testbed try
ci:
	.ci/run
