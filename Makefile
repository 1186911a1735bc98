# Development tasks. "make help" lists them.

MODULES := cell platform standin pollendockd pollendock loadgen soak crowd
GO      ?= go
SEEDS   ?= 2 3 4 5
CHECKS  ?= 100

.PHONY: help build demo test lint format matrix soak processes bench slopes clean

help: ## list the targets
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*## /\t/'

build: ## build all programs into bin/
	@mkdir -p bin
	@for m in standin pollendockd pollendock loadgen soak; do (cd $$m && $(GO) build -o ../bin/ .) || exit 1; done

demo: build ## run the rehearsal mix against a local cell with faults, about a minute
	./demo/demo.sh

test: ## run all tests
	@status=0; for m in $(MODULES); do (cd $$m && $(GO) test ./...) || status=1; done; exit $$status

lint: bin/staticcheck ## run go vet and staticcheck, fail on any finding
	@for m in $(MODULES); do (cd $$m && $(GO) vet ./... && ../bin/staticcheck ./...) || exit 1; done

bin/staticcheck: tools/go.mod
	@mkdir -p bin
	@cd tools && GOWORK=off $(GO) build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck

format: ## fail if a file is not formatted
	@out=$$(gofmt -l $(MODULES)); if [ -n "$$out" ]; then echo "not formatted: $$out"; exit 1; fi

matrix: ## print the matrix of steps and faults: pass, fail or cannot occur
	@cd pollendockd && POLLENDOCK_MATRIX=1 $(GO) test -count=1 -run '^TestMatrix$$' -v ./internal/entry | grep -vE '^ *(=== |--- )|cannot occur:'

soak: ## test pairs of faults with several seeds (SEEDS="2 3 4", CHECKS=100)
	@cd pollendockd && for s in $(SEEDS); do POLLENDOCK_SEED=$$s POLLENDOCK_CHECKS=$(CHECKS) $(GO) test -count=1 -run '^TestFaultPairs$$' ./internal/entry || exit 1; done

processes: build ## run entry VMs as processes under random faults (SEEDS="2 3 4")
	@for s in $(SEEDS); do bin/soak --program bin/pollendockd --seed $$s || exit 1; done

bench: ## run the scheduling benchmarks
	@cd pollendockd && $(GO) test -run '^$$' -bench . -benchtime 1s ./internal/entry ./internal/scheduler

slopes: build bench ## measure the inputs of docs/CAPACITY.md
	./demo/slopes.sh

clean: ## remove build output
	rm -rf bin
