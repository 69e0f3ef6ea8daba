.PHONY: play play-fleet build test lint run

# The router fleet on loopback with kills, a drain, a patch and new weights, its table: 25 s once built.
play-fleet:
	cargo build --release --locked -p sparrouter-fleet -p sparrouter-fleet-lab
	target/release/sparrouter-fleet-lab play crates/sparrouter-fleet-lab/scenarios/fleet-first.toml

# A fleet on loopback with a crash and a rolling deploy, its table and the report's path: 30 s.
play:
	cargo build --release --locked
	target/release/sparrouter-lab play scenarios/first.toml

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# Needs a configuration: make run CONFIG=path/to/config.json
run: build
	PROXY_CONFIG=$(CONFIG) exec target/release/sparrouter-node
