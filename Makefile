# make test: all tests; make measure [QUICK=1]: the two measures; make slopes: see docs/CAPACITY.md.
.PHONY: test measure slopes generate
test:
	go test ./...
measure:
	go run . measure $(if $(QUICK),--quick)
slopes:
	go run . measure --slopes --json slopes.json
generate:
	protoc --go_out=. --go_opt=paths=source_relative internal/base/wire/wire.proto
