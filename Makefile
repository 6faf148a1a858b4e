# build, test, lint and run; see README.md.
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo development)

.PHONY: build test lint run measure-pools measure-door measure-keys measure-lab demo

build:
	mkdir -p bin
	CGO_ENABLED=1 go build -ldflags "-linkmode=external -X main.version=$(VERSION)" -o bin/ ./cmd/...

# Random walks start from one seed, so that a verdict is the same every time;
# RAPID_SEED=0 takes a new one, RAPID_CHECKS=10000 walks longer.
export RAPID_SEED ?= 20261201

# Decisions and parsers as they are; all that touches sockets with the race detector.
PLAIN = . ./cmd/simhost/... ./internal/wire/... ./internal/config/... ./internal/frame/... ./internal/uwsgi/... \
	./internal/ops/... ./internal/figures/... ./internal/pool/... ./internal/lab ./internal/lab/fleet/... ./internal/lab/paired/... ./internal/lab/experiment/... \
	./internal/lab/report/...
RACED = ./cmd/kiteslip/... ./cmd/kitelab/... ./internal/core/... ./internal/engine/... ./internal/registry/... ./internal/handover/... \
	./internal/server/... ./internal/pcap/... ./internal/replay/... ./internal/standin/... \
	./internal/keystore/... ./internal/storage/... ./internal/lab/live/...

test:
	go test $(PLAIN)
	go test -race $(RACED)

# Measurements with fixed seeds: the last line has the figures, and a figure
# that falls short ends them with 1.
measure-pools: build
	bin/kitelab pools

measure-door: build
	bin/kitelab door

measure-lab: build
	bin/kitelab lab

# The real program on loopback: boxes, load and an incident, live in the
# terminal, with a report at the end. Ctrl-C ends it early.
demo: build
	bin/kitelab live scenarios/fifth-dies.toml --boxes 5 --html demo.html

measure-keys: build
	bin/kitelab keys

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...

# A server by itself, with the uwsgi front, as deploy/operator.toml sets it up.
run: build
	exec bin/kiteslip serve --operator deploy/operator.toml
