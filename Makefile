# The developer's menu.

MODULES := cell standin pollendockd pollendock loadgen
GO      ?= go

.PHONY: help build demo test lint format matrix soak bench slopes clean

help: ## show this menu
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*## /\t/'

build: ## build all programs into bin/
	@mkdir -p bin
	@for m in standin pollendockd pollendock loadgen; do (cd $$m && $(GO) build -o ../bin/ .) || exit 1; done

demo: build ## run the rehearsal day with failures, about a minute
	./demo/demo.sh

test: ## run all tests
	@for m in $(MODULES); do (cd $$m && $(GO) test ./...) || exit 1; done

lint: ## go vet and staticcheck, no findings allowed
	@for m in $(MODULES); do (cd $$m && $(GO) vet ./... && $(GO) tool -modfile=../tools/go.mod staticcheck ./...) || exit 1; done

format: ## fail if a file is not formatted
	@out=$$(gofmt -l $(MODULES)); if [ -n "$$out" ]; then echo "not formatted: $$out"; exit 1; fi

clean: ## remove what was built
	rm -rf bin
