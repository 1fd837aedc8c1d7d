.PHONY: demo test build lint slopes soak processes stops fuzz

build:
	go build -o bin/ ./cmd/...

demo:
	_scripts/demo.sh

lint:
	@test -z "$$(gofmt -l .)" || { echo "gofmt: $$(gofmt -l .)"; exit 1; }
	go vet ./...
	go tool staticcheck ./...

test:
	go test -count=1 -skip '^TestCrowd' ./...
	go test -count=1 -p 1 -run '^TestCrowd' ./soak ./scenario
	_scripts/race.sh ./acceptor ./controller ./server ./launcher ./forwarder ./client ./console ./dispatcher ./watcher ./tunneler
	_scripts/known-red.sh

# A longer random run: make soak RUNS=500 SEED=7. It prints the seed, and the
# same seed draws the same schedules again.
RUNS ?= 200
SEED ?= $(shell date +%s)
soak:
	@echo "seed $(SEED)"
	go test ./server -run TestSoak -timeout 60m -rapid.seed=$(SEED) -rapid.checks=$(RUNS) -v | grep -v -e '=== RUN' -e '--- PASS: TestSoak/'
	go test ./launcher -run TestSoak -timeout 60m -rapid.seed=$(SEED) -rapid.checks=$(RUNS)

# Random faults against real processes on loopback addresses, four runs at a
# time: make processes SEEDS=100 SEED=7.
SEEDS ?= 52
processes:
	@echo "seeds $(SEED) and on"
	go test ./soak -timeout 60m -soak.seeds=$(SEEDS) -soak.seed=$$(( $(SEED) % 100000 ))

# The scenarios named by SCENARIOS with processes that run for 0.1 s and stand still for up to STOP, at random:
# make stops SEED=7 STOP=900ms. Their bounds are those of processes that run, so that long stops break them.
SCENARIOS ?= two-at-once|memory-killed-entry|group-lost-share
STOP ?= 400ms
stops:
	@echo "seed $(SEED)"
	go test ./scenario -count=1 -run 'TestScenarios/($(SCENARIOS))$$' -stops.pause $(STOP) -stops.seed $(SEED)

# The slopes that docs/CAPACITY.md is worked out from. Takes some minutes.
slopes:
	go test ./router ./validator ./server -run XXX -bench . -benchtime 500ms | grep -E '^(Benchmark|FAIL)'
	go test ./scenario -run XXX -bench . -benchtime 1x -timeout 20m | grep -E '^(Benchmark|FAIL)'

# Looks for input that the decoders can't take, for a while each.
FUZZTIME ?= 30s
FUZZ = validator:FuzzParse loader:FuzzParse spender:FuzzParse sealer:FuzzVerify \
	server:FuzzDecodePrompt platform:FuzzDecodeConfig platform:FuzzParseSettings \
	platform:FuzzInstance platform:FuzzItems dispatcher:FuzzDecodeLoadUpdate dispatcher:FuzzDecodeRateLimits splitter:FuzzFeed \
	explainer:FuzzExplain scheduler:FuzzDecode
# Minimizing an input of interest would take the rest of the time, hence 1x.
fuzz:
	set -e; for t in $(FUZZ); do \
	  go test ./$${t%:*} -run XXX -fuzz $${t#*:} -fuzztime $(FUZZTIME) -fuzzminimizetime 1x; \
	done
