BIN := bin

.PHONY: build demo test prove measure capacity lint format generate

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	go run ./test/demo $(BIN)

test:
	.ci/test

format:
	cd tools && go run mvdan.cc/gofumpt -w ../cmd ../internal ../pkg ../platform ../test

generate:
	./schema/generate.sh

prove: build
	go run ./test/prove $(BIN) $(SEED)

measure: build
	go run ./test/measure all $(BIN) $(SEED)

capacity: build
	go run ./test/measure capacity $(BIN) $(SEED)
