package crashguard

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/skylarkstep/skylarkstep/routing/quarantine"
)

// fingerprintBytes is the size of a fingerprint. It is a cryptographic hash, so
// that no caller can make its requests look like those of another one.
const fingerprintBytes = 16

// Request is what makes two requests the same.
type Request struct {
	Method, Host string
	// URI is the path with the query.
	URI string
	// Customer is empty on routes that need no key.
	Customer string
	Body     []byte
}

// Fingerprint returns a hash of the request. It is the same for each repeat, also
// at another instance. Headers are left out, since each repeat has its own id and
// deadline.
func (r *Request) Fingerprint() string {
	h := sha256.New()
	var size [8]byte
	for _, field := range []string{r.Method, r.Host, r.URI, r.Customer} {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// SharedParts returns the parts of a prompt that other requests may have too: all
// but the last. A caller that sends the name of a request as a part is not
// believed: it could have the requests of others turned away.
func SharedParts(parts []string) []string {
	shared := slices.Clone(parts[:max(0, len(parts)-1)])
	return slices.DeleteFunc(shared, quarantine.IsRequest)
}
