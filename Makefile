GOLANGCI_VERSION := v2.15.0
GOBIN := $(shell go env GOPATH)/bin
SEED ?= 1
MINUTES ?= 5

SEEDS ?= 1-50
SECONDS ?= 10
JOBS ?= 3
HOSTS ?= 4
BENCH ?=
SITES ?=

# Tests that measure memory, and the soak, run apart from other load.
APART := ^TestCrowd|^TestMessagesOfManyRows
SOAK := ^TestSoakOnStore

.PHONY: regress build demo test lint unit bench report scale soak storesoak generate docs tools

build:
	go build -o bin/ ./cmd/...

demo: build
	./bin/standin demo --program ./bin/curranttiller

test: lint unit

tools:
	@test -x $(GOBIN)/golangci-lint || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: tools
	$(GOBIN)/golangci-lint fmt --diff
	$(GOBIN)/golangci-lint run ./...

# All parts run, also after a part that fails.
unit: build
	@status=0; \
	go test -count=1 -timeout 10m -run '$(APART)' ./platform || status=1; \
	go test -count=1 -timeout 10m -parallel 2 -run '$(SOAK)' ./platform || status=1; \
	go test -count=1 -timeout 20m -skip '$(APART)|$(SOAK)' ./... || status=1; \
	exit $$status

docs: build
	./bin/curranttiller reference cli > docs/CLI.md
	./bin/curranttiller reference settings > docs/SETTINGS.md

generate:
	buf generate proto

bench: build
	./bin/standin overhead --program ./bin/curranttiller --out out
	./bin/standin bench --program ./bin/curranttiller --out out

report: build
	./bin/standin report --out out

scale: build
	./bin/standin scale --program ./bin/curranttiller

storesoak: build
	SOAK_SEEDS=$(SEEDS) SOAK_SECONDS=$(SECONDS) SOAK_HOSTS=$(HOSTS) go test -count=1 -parallel 3 -timeout 60m -run SoakOnStore -v ./platform

# BENCH is the path of the users' bench, and SITES are deployments, one score after the other.
regress: build
	for site in $(SITES); do $(BENCH) score $$site --jobs $(JOBS) --why "Regression run" || exit 1; done
	./bin/standin regress

soak: build
	./bin/standin soak --program ./bin/curranttiller --seed $(SEED) --seconds $$(( $(MINUTES) * 60 ))
