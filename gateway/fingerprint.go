package gateway

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

// fingerprint returns a hash of what makes two requests the same: the method, the
// host, the path with its query, the customer and the body. It is the same for
// each repeat of a request, also at another instance. Headers are left out, since
// each repeat has its own id and deadline.
func (x *exchange) fingerprint() string {
	h := sha256.New()
	var size [8]byte
	write := func(field string) {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(field))
	}
	write(x.r.Method)
	write(x.r.Host)
	write(x.r.RequestURI)
	customer := ""
	if x.customer != nil {
		customer = x.customer.Name
	}
	write(customer)
	_, _ = h.Write(x.body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// identify determines what of the request may crash targets: the shared parts of
// its prompt, and the request itself.
func (x *exchange) identify() {
	x.requestHash = x.fingerprint()
	x.sharedParts = sharedParts(x.meta.PromptParts)
	x.subjects = append(slices.Clone(x.sharedParts), quarantine.RequestSubject(x.requestHash))
}

// sharedParts returns the parts of a prompt that other requests may have too: all
// but the last. A caller that sends the name of a request as a part is not
// believed: it could have the requests of others turned away.
func sharedParts(parts []string) []string {
	shared := slices.Clone(parts[:max(0, len(parts)-1)])
	return slices.DeleteFunc(shared, quarantine.IsRequest)
}
