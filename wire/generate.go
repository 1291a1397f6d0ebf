package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative wirepb/wire.proto
