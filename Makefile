# build, test, lint and run. `make test` is the one test command.
.PHONY: all build test lint run rehearse clean

all: build

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

# Formatting, vet, the bounds on the policy file, and all tests under the race detector.
test: lint
	go test -race -count=1 ./...

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not gofmt'd: $$unformatted" >&2; exit 1; fi
	@lines=$$(grep -cv '^[[:space:]]*$$' dispatcher.go); echo "dispatcher.go: $$lines non-blank lines"; \
	if [ "$$lines" -gt 740 ]; then echo "dispatcher.go: 740 non-blank lines at most" >&2; exit 1; fi
	@awk '{ gsub(/\t/, "    ") } length > 110 { print FILENAME ":" FNR ": line over 110 characters"; bad = 1 } END { exit bad }' dispatcher.go
	go vet ./...

# The daemon with the Faktory front on loopback, nothing else needed.
run: build
	exec bin/hollyyoke -config deploy/faktory-config.json -faktory deploy/faktory.toml

# A rehearsal from a raw log, with everything it needs started here:
# make rehearse IN=access.log RULES=rules.toml REPORT=found/report
IN ?= deploy/sample/access.log
RULES ?= deploy/rehearsal.toml
REPORT ?= found/rehearsal
rehearse: build
	mkdir -p $(REPORT)
	bin/hollyyoke-rehearse import --rules $(RULES) --rejects $(REPORT)/rejects.jsonl -o $(REPORT)/recording.rec $(IN)
	bin/hollyyoke-rehearse run --recording $(REPORT)/recording.rec --report $(REPORT)

clean:
	rm -rf bin found
