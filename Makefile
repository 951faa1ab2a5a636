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

# A recording to that daemon: make rehearse IN=access.log
rehearse: build
	bin/hollyyoke-rehearse -in "$(IN)" -rules deploy/rehearsal.toml -to 127.0.0.1:7419 -front faktory

clean:
	rm -rf bin
