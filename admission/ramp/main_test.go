package ramp

import (
	"flag"
	"os"
	"testing"
)

// A fixed seed gives the property tests the same verdict on every run.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
