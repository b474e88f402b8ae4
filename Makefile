# DEPLOYMENT is hoop-and-mallet or mekong.
DEPLOYMENT ?= hoop-and-mallet
RAPID_SEED ?= 20261204

.PHONY: build test demo format lint generate

build:
	go build -o bin/ ./cmd/...

# The property tests run with a fixed seed, so that runs are reproducible.
test:
	RAPID_SEED=$(RAPID_SEED) bash .ci/check

demo: build
	bash demo/run $(DEPLOYMENT)

format:
	cd tools && go build -o ../bin/gofumpt mvdan.cc/gofumpt
	bin/gofumpt -w $(shell git ls-files '*.go' | grep -v _gen)

lint:
	cd tools && go build -o ../bin/revive github.com/mgechev/revive
	bin/revive -set_exit_status ./...

generate:
	cd tools && go build -o ../bin/msgp github.com/tinylib/msgp
	PATH="$(CURDIR)/bin:$$PATH" go generate ./...
