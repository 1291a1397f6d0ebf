package logs

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const sample = `   1.0 front-1 {"time":"2026-01-01T00:00:01Z","msg":"target removed","instance":"front-1","target":"i-1","reason":"entry removed"}
noise
{"time":"2026-01-01T00:00:01Z","msg":"target removed","instance":"front-1","target":"i-other"}
{"time":"2026-01-01T00:00:01Z","msg":"target removed","instance":"front-2","target":"i-1"}
{"time":"2026-01-01T00:00:03Z","msg":"request","instance":"front-1","request":"r1","target":"i-1","back_end":"b","outcome":"target_lost"}
{"time":"2026-01-01T00:00:02Z","msg":"attempt","instance":"front-1","request":"r1","target":"i-1","verdict":"lost"}
{"time":"2026-01-01T00:00:02Z","msg":"request","instance":"front-1","request":"r2","target":"i-1"}
{"time":"2026-01-01T00:09:00Z","msg":"stopping","instance":"front-1"}
`

// Guards against an explanation that omits what the instance logged about the
// target, or that includes lines about other targets, instances and requests.
func TestExplain(t *testing.T) {
	lines, err := Read(strings.NewReader(sample))
	require.NoError(t, err)
	require.Len(t, lines, 7)
	x, err := Explain("r1", lines)
	require.NoError(t, err)
	require.Len(t, x.RequestLines, 2)
	require.Equal(t, "attempt", x.RequestLines[0].Message)
	require.Len(t, x.Context, 1)
	var out strings.Builder
	x.Write(&out)
	require.Equal(t, `    -2.000 s  front-1  target removed  reason=entry removed target=i-1
>   -1.000 s  front-1  attempt  target=i-1 verdict=lost
>    0.000 s  front-1  request  back_end=b outcome=target_lost target=i-1
`, out.String())
	_, err = Explain("r9", lines)
	require.ErrorContains(t, err, `request "r9" is in none of the 7 log lines`)
}
