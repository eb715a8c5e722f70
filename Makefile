GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
SEEDS ?= 10
FIRST ?= 1
OUT = out

.PHONY: build test lint generate check-generated check-linked unit demo demo-up prove soak bench latency slopes fuzz

build:
	$(GO) build -o bin/tarragonwell .

# Everything that CI checks.
test: lint check-generated check-linked unit
	@$(MAKE) --no-print-directory fuzz FUZZ_TIME=2000x

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); echo "gofmt: the files above differ"; exit 1; }
	$(GO) vet ./...
	$(GO) vet -tags negativecontrol ./...
	$(TOOL) staticcheck ./...

generate:
	$(TOOL) buf generate
	$(TOOL) buf generate platform/schema --template platform/buf.gen.yaml

# Checks that the committed generated code matches the schema.
check-generated:
	@rm -rf $(OUT)/generated
	$(TOOL) buf generate -o $(OUT)/generated
	$(TOOL) buf generate platform/schema --template platform/buf.gen.yaml -o $(OUT)/generated
	diff -r $(OUT)/generated/pkg/api pkg/api
	diff -r $(OUT)/generated/platform/store platform/store

# Checks that the program is dynamically linked to the C library.
check-linked: build
	@readelf -d bin/tarragonwell | grep -q 'NEEDED.*libc\.so' || { echo "the program is not linked to the C library"; exit 1; }

# The tests that KNOWN-RED.txt names run by themselves; their result is printed and not
# counted.
KNOWN_RED = $(shell sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd '|' -)

# The tests of test/abuse bound the memory of processes, and run apart from other load.
ABUSE = ./test/abuse

unit:
	@if [ -n '$(KNOWN_RED)' ]; then \
		cat KNOWN-RED.txt; \
		$(GO) test -race -count=1 -timeout 20m -run '$(KNOWN_RED)' ./... || echo "known red, not counted: the failure above"; \
	fi
	$(GO) test -race -count=1 -timeout 20m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $$($(GO) list ./... | grep -v '$(ABUSE:.%=%)$$')
	$(GO) test -race -count=1 -timeout 20m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $(ABUSE)

demo:
	$(GO) run ./test/demo

demo-up:
	$(GO) run ./test/demo --stay

# Injects seeded faults into whole fleets: make prove SEEDS=200
prove:
	$(GO) run ./test/prove --seeds $(SEEDS) --parallel 3

# Injects external faults into fleets on the prepared platform: make soak SEEDS=50
soak:
	@mkdir -p $(OUT)
	$(GO) run ./test/soak --first $(FIRST) --seeds $(SEEDS) --parallel 3 --logs $(OUT)

bench:
	$(GO) run ./test/bench --out $(OUT)/bench

# Measures the latency that an instance adds to a call, and the cost of a call.
latency:
	$(GO) run ./test/latency

slopes:
	$(GO) run ./test/slopes

# Fuzzes the decoders of everything that comes from outside: make fuzz FUZZ_TIME=10m (or 2000x, for a number of inputs)
FUZZ_TIME ?= 30s
FUZZ_TARGETS = pkg/rulesfile:FuzzParse pkg/settingsfile:FuzzParse \
	platform:FuzzDecodeTarget platform:FuzzPage platform:FuzzConfiguration platform:FuzzResponseHeader \
	internal/peer:FuzzExchange internal/peer:FuzzListChange internal/peer:FuzzOperate \
	internal/target:FuzzResponseHead

fuzz:
	@for t in $(FUZZ_TARGETS); do \
		echo "fuzzing $$t for $(FUZZ_TIME)"; \
		$(GO) test ./$${t%%:*} -run '^$$' -fuzz "^$${t##*:}$$" -fuzztime $(FUZZ_TIME) || exit 1; \
	done
