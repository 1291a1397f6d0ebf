package atmostonce

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an id that loses a field when it is sent in a header.
func TestIDRoundTrip(t *testing.T) {
	id := NewID("cabina-app", "cabina-app-burgos", 0xfe, time.UnixMilli(1764817200123))
	got, err := ParseID(id.String())
	require.NoError(t, err)
	assert.Equal(t, id, got)
	assert.Regexp(t, `^op1\.cabina-app\.cabina-app-burgos\.00000000000000fe\.[0-9a-f]{32}$`, id.String())
}

// Guards against two texts for one operation, each of which could run it, and
// against a panic on hostile input.
func FuzzParseID(f *testing.F) {
	f.Add("op1.a.b.00000000000000fe.019ae7d5c57b0102030405060708090a")
	f.Add("op1.a.b.00000000000000FE.019AE7D5C57B0102030405060708090a")
	f.Add("op1.a.b.+0000000000000fe.-19ae7d5c57b0102030405060708090a")
	f.Add("op1.a..b.c")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseID(s)
		if err == nil && id.String() != s {
			t.Fatalf("%q is accepted, but its id is %q", s, id)
		}
		if err == nil && len(s) > MaxIDLength {
			t.Fatalf("id of %d bytes is accepted", len(s))
		}
	})
}
