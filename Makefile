# The developer's menu.

MODULES := cell platform standin pollendockd pollendock loadgen soak
GO      ?= go
SEEDS   ?= 2 3 4 5
CHECKS  ?= 100

.PHONY: help build demo test lint format matrix soak processes bench slopes clean

help: ## show this menu
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*## /\t/'

build: ## build all programs into bin/
	@mkdir -p bin
	@for m in standin pollendockd pollendock loadgen soak; do (cd $$m && $(GO) build -o ../bin/ .) || exit 1; done

demo: build ## run the rehearsal day with failures, about a minute
	./demo/demo.sh

test: ## run all tests
	@status=0; for m in $(MODULES); do (cd $$m && $(GO) test ./...) || status=1; done; exit $$status

lint: bin/staticcheck ## go vet and staticcheck, no findings allowed
	@for m in $(MODULES); do (cd $$m && $(GO) vet ./... && ../bin/staticcheck ./...) || exit 1; done

bin/staticcheck: tools/go.mod
	@mkdir -p bin
	@cd tools && GOWORK=off $(GO) build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck

format: ## fail if a file is not formatted
	@out=$$(gofmt -l $(MODULES)); if [ -n "$$out" ]; then echo "not formatted: $$out"; exit 1; fi

matrix: ## print steps x faults with pass, fail, cannot occur
	@cd pollendockd && POLLENDOCK_MATRIX=1 $(GO) test -count=1 -run '^TestMatrix$$' -v ./internal/entry | grep -vE '^ *(=== |--- )|cannot occur:'

soak: ## pairs of faults with many seeds (SEEDS="2 3 4", CHECKS=100)
	@cd pollendockd && for s in $(SEEDS); do POLLENDOCK_SEED=$$s POLLENDOCK_CHECKS=$(CHECKS) $(GO) test -count=1 -run '^TestFaultPairs$$' ./internal/entry || exit 1; done

processes: build ## entry VMs as processes under drawn faults (SEEDS="2 3 4")
	@for s in $(SEEDS); do bin/soak --program bin/pollendockd --seed $$s || exit 1; done

bench: ## benchmarks of the decisions
	@cd pollendockd && $(GO) test -run '^$$' -bench . -benchtime 1s ./internal/entry

slopes: build bench ## what docs/CAPACITY.md is worked out from
	./demo/slopes.sh

clean: ## remove what was built
	rm -rf bin
