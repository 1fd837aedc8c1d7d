.PHONY: demo test build lint slopes soak fuzz

build:
	go build -o bin/ ./cmd/...

demo:
	_scripts/demo.sh

lint:
	@test -z "$$(gofmt -l .)" || { echo "gofmt: $$(gofmt -l .)"; exit 1; }
	go vet ./...
	go tool staticcheck ./...

test:
	go test ./...
