# build, test, lint and run; see README.md.
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo development)

.PHONY: build test soak lint run measure-scale measure-pools measure-door measure-keys measure-lab measure-calls measure-shutdown regression demo

build:
	mkdir -p bin
	CGO_ENABLED=1 go build -ldflags "-linkmode=external -X main.version=$(VERSION)" -o bin/ ./cmd/...

# Random walks start from one seed, so that a verdict is the same every time;
# RAPID_SEED=0 takes a new one, RAPID_CHECKS=10000 walks longer.
export RAPID_SEED ?= 20261201

# All packages of the module, and KNOWN-RED.txt: see .ci/gotest.
test:
	.ci/gotest

# The whole program under random trouble, a few fixed seeds: docs/operate/soak.md. A long
# run is started by hand: SEEDS=50 make soak.
soak: build
	.ci/soak

# Measurements with fixed seeds: the last line has the figures, and a figure
# that falls short ends them with 1.
measure-pools: build
	bin/kitelab pools

measure-door: build
	bin/kitelab door

measure-shutdown: build
	bin/kitelab shutdown

measure-calls: build
	bin/kitelab calls

# Slopes of one server, the fleet day, and the page that is rendered from them.
# Both are played also where the first falls short; six minutes at most.
measure-scale: build
	@code=0; bin/kitelab slopes || code=1; bin/kitelab fleetday || code=1; bin/kitelab capacity || code=1; exit $$code

measure-lab: build
	bin/kitelab lab

# The real program on loopback: boxes, load and an incident, live in the
# terminal, with a report at the end. Ctrl-C ends it early.
demo: build
	bin/kitelab live scenarios/fifth-dies.toml --boxes 5 --html demo.html

measure-keys: build
	bin/kitelab keys

# Both deployments' quick days in turn, then the days of many unlike teams, before
# every landing. The kit lies beside the repository; WHY is one plain sentence that
# names the change.
KIT ?= ../given/kit
LEAST_accra-lookup = 0.97
LEAST_sofia-tills = 0.95
LEAST_many-teams = 0.80
MANY_TEAMS = deploy/sites/many-teams.toml
regression:
	@test -x $(KIT)/real/bin/lbreal || { echo "regression: no kit at $(KIT) (set KIT=FOLDER): nothing was played" >&2; exit 2; }
	@test -x $(KIT)/more/mass/bin/lbreal || { echo "regression: no mass bench at $(KIT)/more/mass: nothing was played" >&2; exit 2; }
	@test -n "$(WHY)" || { echo 'regression: say what changed: make regression WHY="one plain sentence"' >&2; exit 2; }
	@for site in $(KIT)/sites/accra-lookup.toml $(KIT)/users/sofia-tills.toml; do \
		case $$site in *accra*) least=$(LEAST_accra-lookup);; *) least=$(LEAST_sofia-tills);; esac; \
		$(KIT)/real/bin/lbreal score $$site --quick --why "$(WHY)" | tee -a /dev/stderr | awk -v least=$$least -v site=$$site \
			'/^score of the real nodes/ { seen = $$6 } END { if (!(seen + 0 >= least)) { print site ": " seen ", want " least; exit 1 } }' || exit 1; \
	done
	@for play in "--panel brink --seed 41" --quick; do \
		$(KIT)/more/mass/bin/lbreal score $(MANY_TEAMS) $$play --why "$(WHY)" | tee -a /dev/stderr | awk -v least=$(LEAST_many-teams) -v play="$(MANY_TEAMS) $$play" \
			'/GATE passed/ { gate = 1 } /^ *herd[+]/ { herds++; if ($$NF + 0 < least) { low = low " " $$1 " " $$NF } } /^score of the real nodes/ { seen = $$6 } \
			END { if (!gate || !herds || low != "" || !(seen + 0 >= least)) { print play ": score " seen ", gate " gate + 0 ", herd days " herds + 0 ", below:" low "; want GATE passed and " least " on each"; exit 1 } }' || exit 1; \
	done

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck -checks all ./...

# A server by itself, with the uwsgi front, as deploy/operator.toml sets it up.
run: build
	exec bin/kiteslip serve --operator deploy/operator.toml
