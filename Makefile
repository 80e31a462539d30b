BIN := bin

.PHONY: bench build demo test prove measure capacity lint format generate soak soak-short

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

bench:
	tools/bench.sh $(COMMIT)

prove: build
	go run ./test/prove $(BIN) $(SEED)

measure: build
	go run ./test/measure all $(BIN) $(SEED)

capacity: build
	go run ./test/measure capacity $(BIN) $(SEED)

soak: build
	go build -o $(BIN)/soak ./test/soak
	$(BIN)/soak -bin $(BIN) -seed $(or $(SEED),1) -count $(or $(COUNT),1) -beside $(or $(BESIDE),1) -keep $(BIN)/soak-logs

soak-short: build
	go build -o $(BIN)/soak ./test/soak
	$(BIN)/soak -bin $(BIN) -count 0 -seeds test/soak/seeds.txt -for 8s -beside 2 -keep $(BIN)/soak-logs
