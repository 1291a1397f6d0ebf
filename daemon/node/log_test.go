package node

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against flooding the log during an outage, and against dropping records
// without reporting their number.
func TestRepeatedMessagesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := newLogger(&out, slog.LevelInfo).With("process", "p")
		for range 1000 {
			log.Warn("key-value service does not answer")
		}
		log.Info("another message")
		assert.Equal(t, logBurstPerMessage+1, strings.Count(out.String(), "\n"))
		time.Sleep(2 * time.Second)
		log.Warn("key-value service does not answer")
		assert.Contains(t, out.String(), `"suppressed":980`)
	})
}
