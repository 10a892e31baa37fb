# The two commands of the README are `make demo` and `make test`.
GO ?= go
BIN := bin
PROGRAMS := $(notdir $(wildcard cmd/*))

.PHONY: all build test check unit demo clean

all: build

build:
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

test: check unit

check:
	@unformatted="$$(gofmt -l $$(git ls-files '*.go'))"; \
	if [ -n "$$unformatted" ]; then echo "gofmt needed: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	@scripts/unit.sh

demo: build
	@scripts/demo.sh examples/lankawrap

clean:
	rm -rf $(BIN)
