# The two commands a newcomer needs are `make demo` and `make test`.
GO ?= go
TOOLS := $(CURDIR)/.tools
LINTER_VERSION := v2.15.0
LINTER := $(TOOLS)/golangci-lint-$(LINTER_VERSION)
PROGRAMS := router keeper skctl standin load bench
MODULES := lib platform $(PROGRAMS)
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo unknown)

.PHONY: build demo test lint format unit generate measure soak benchmarks faults clean

build:
	@mkdir -p bin
	@for program in $(PROGRAMS); do \
		$(GO) build -ldflags "-X shallotkeel.example/lib/starter.Version=$(VERSION)" \
			-o bin/$$program ./$$program || exit 1; \
	done

demo: build
	bin/bench demo

test: lint unit

# SKIP names tests that are known to fail, as a pattern; CI takes it from KNOWN-RED.txt.
unit:
	$(GO) test -race -timeout 8m $(if $(SKIP),-skip '^($(SKIP))$$') work

lint: $(LINTER)
	@for module in $(MODULES); do (cd $$module && $(LINTER) run ./...) || exit 1; done

format: $(LINTER)
	@for module in $(MODULES); do (cd $$module && $(LINTER) fmt ./...) || exit 1; done

# The linter comes from the module proxy, pinned, and is built once.
$(LINTER):
	@mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) GOWORK=off $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINTER_VERSION)
	mv $(TOOLS)/golangci-lint $(LINTER)

# Generated code is committed, so only someone who edits a .proto file needs protoc.
generate:
	cd lib/messenger && protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. messenger.proto replication.proto

# One seed of faults against real processes on the platform's interface: make soak SEED=7.
SEED ?= 1
soak: build
	bin/bench soak --seed $(SEED)

measure: build
	bin/bench measure

# Slopes of single parts: the scheduler, and the keepers' syncs, claims and restarts.
benchmarks:
	$(GO) test -run '^$$' -bench . ./lib/scheduler ./keeper/internal/driver ./keeper/internal/server

faults: build
	bin/bench faults

clean:
	rm -rf bin .data
