package atmostonce

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// MaxIDLength is the maximum length of an operation id in bytes.
const MaxIDLength = len(idPrefix) + 4 + 2*maxNameLength + incarnationDigits + randomDigits

const (
	idPrefix          = "op1"
	maxNameLength     = 63
	incarnationDigits = 16
	timeDigits        = 12 // 48 bits of milliseconds last until the year 10889
	nonceBytes        = 10 // 80 bits, so that no caller can guess the id of another
	randomDigits      = timeDigits + 2*nonceBytes
)

// namePattern is the pattern that the configuration requires of names. Names
// have no dots, so that an id can be parsed in one way only.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ID names one operation and the only target incarnation that may run it. The
// first digits of the random part are the issue time, with which a table
// distinguishes a new id from one that it may have evicted.
type ID struct {
	Backend     string
	Target      string
	Incarnation uint64
	Issued      time.Time // in whole milliseconds
	Nonce       [nonceBytes]byte
}

// NewID issues an id for a target incarnation at the given time.
func NewID(backend, target string, incarnation uint64, now time.Time) ID {
	id := ID{Backend: backend, Target: target, Incarnation: incarnation, Issued: time.UnixMilli(now.UnixMilli())}
	_, _ = rand.Read(id.Nonce[:])
	return id
}

// String returns the text form op1.<back end>.<target>.<incarnation>.<random>.
func (id ID) String() string {
	return fmt.Sprintf("%s.%s.%s.%016x.%012x%s", idPrefix, id.Backend, id.Target, id.Incarnation,
		id.Issued.UnixMilli(), hex.EncodeToString(id.Nonce[:]))
}

// ParseID parses an operation id. It accepts only texts that String returns, so
// that no two texts name the same operation.
func ParseID(s string) (ID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 5 || parts[0] != idPrefix {
		return ID{}, errors.Errorf("operation id does not have the form %s.<back end>.<target>.<incarnation>.<random>", idPrefix)
	}
	for i, what := range []string{"back end", "target"} {
		if !namePattern.MatchString(parts[i+1]) {
			return ID{}, errors.Errorf("operation id: %s is not a valid name", what)
		}
	}
	if len(parts[3]) != incarnationDigits || len(parts[4]) != randomDigits {
		return ID{}, errors.Errorf("operation id: incarnation needs %d digits and random part %d", incarnationDigits, randomDigits)
	}
	id := ID{Backend: parts[1], Target: parts[2]}
	var err error
	if id.Incarnation, err = strconv.ParseUint(parts[3], 16, 64); err != nil {
		return ID{}, errors.New("operation id: incarnation is not hexadecimal")
	}
	ms, err := strconv.ParseUint(parts[4][:timeDigits], 16, 4*timeDigits)
	if err != nil {
		return ID{}, errors.New("operation id: issue time is not hexadecimal")
	}
	id.Issued = time.UnixMilli(int64(ms))
	if _, err := hex.Decode(id.Nonce[:], []byte(parts[4][timeDigits:])); err != nil {
		return ID{}, errors.New("operation id: random part is not hexadecimal")
	}
	if id.String() != s {
		return ID{}, errors.New("operation id: hexadecimal digits must be in lower case")
	}
	return id, nil
}
