package infra_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/instancehttp"
	"github.com/skylarkstep/skylarkstep/infra/standin"
	"github.com/skylarkstep/skylarkstep/infra/weighthttp"
)

// TestInstanceListContract guards against a partial or failed response that is
// taken for a short list, which would remove live instances.
func TestInstanceListContract(t *testing.T) {
	rows := []infra.Instance{
		{Name: "i1", DataCentre: "d1", Addr: "127.0.0.1:1", State: infra.InstanceLive},
		{Name: "i2", DataCentre: "d2", Addr: "127.0.0.1:2", State: infra.InstanceLeaving},
	}
	for _, c := range []struct {
		name  string
		limit int64
		set   func(*standin.InstanceList)
		want  []infra.Instance
		kind  errkind.Kind
	}{
		{"rows", 1 << 20, func(l *standin.InstanceList) { l.Set(rows...) }, rows, 0},
		{"empty", 1 << 20, func(*standin.InstanceList) {}, []infra.Instance{}, 0},
		{"latency", 1 << 20, func(l *standin.InstanceList) { l.Set(rows...); l.SetLatency(10 * time.Millisecond) }, rows, 0},
		{"row without name", 1 << 20, func(l *standin.InstanceList) { l.Set(rows[0], infra.Instance{}, rows[1]) }, rows, errkind.InvalidRequest},
		{"too large", 100, func(l *standin.InstanceList) { l.Set(rows...) }, nil, errkind.TooLarge},
		{"refuse", 1 << 20, func(l *standin.InstanceList) { l.SetRefuse(true) }, nil, errkind.StoreUnavailable},
		{"lost reply", 1 << 20, func(l *standin.InstanceList) { l.DropReplies(2) }, nil, errkind.StoreUnavailable},
		{"stall", 1 << 20, func(l *standin.InstanceList) { l.SetStall(true) }, nil, errkind.StoreUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := standin.NewInstanceList()
			srv := httptest.NewServer(l)
			t.Cleanup(func() { l.SetStall(false); srv.Close() })
			c.set(l)
			client := instancehttp.New(srv.URL, instancehttp.WithTimeout(testTimeout), instancehttp.WithMaxResponse(c.limit))
			got, err := client.Instances(t.Context())
			require.Equal(t, c.kind, errkind.KindOf(err), "%v", err)
			require.Equal(t, c.want, got)
		})
	}
}

// TestInstanceListNotAList guards against a null, or an error response with an
// empty array, that is taken for a list without instances.
func TestInstanceListNotAList(t *testing.T) {
	for body, status := range map[string]int{"null": http.StatusOK, "[]": http.StatusInternalServerError} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		_, err := instancehttp.New(srv.URL).Instances(t.Context())
		srv.Close()
		require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err), body)
	}
}

// TestOddRowOfInstanceList guards against a row of another writer that stops the
// reading of the others: an instance that leaves would get work as before.
func TestOddRowOfInstanceList(t *testing.T) {
	row := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"addr":"127.0.0.1:1","state":"leaving"}`, name)
	}
	deep := strings.Repeat(`{"a":[`, 500_000) + strings.Repeat("]}", 500_000)
	for name, odd := range map[string]string{
		"number": "7", "null": "null", "text": `"a,]}\\\"["`, "other type": `{"name":7,"addr":"a"}`, "no name": `{"addr":"127.0.0.1:1"}`, "deep": deep,
		"number too large": `{"name":1e999,"addr":"a"}`,
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("[" + row("i1,]") + "," + odd + " , " + row("i2") + "]"))
		}))
		got, err := instancehttp.New(srv.URL).Instances(t.Context())
		srv.Close()
		require.Equal(t, errkind.InvalidRequest, errkind.KindOf(err), name)
		require.Len(t, got, 2, name)
		require.Equal(t, "i1,]", got[0].Name)
		require.Equal(t, "i2", got[1].Name)
		require.Less(t, len(err.Error()), 500, name)
	}
	for _, body := range []string{"", "{}", "[", "[{]", `["]`, "[]]", "[1,2", "x"} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		got, err := instancehttp.New(srv.URL).Instances(t.Context())
		srv.Close()
		require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err), body)
		require.Nil(t, got, body)
	}
}

// TestWeightStoreContract guards against an interrupted object that is taken for
// complete, and against a rate limit that is taken for an outage.
func TestWeightStoreContract(t *testing.T) {
	const size = 200 << 10
	for _, c := range []struct {
		name, object string
		set          func(*standin.WeightStore)
		want         int64
		kind         errkind.Kind
	}{
		{"object", "m/expert 7", func(*standin.WeightStore) {}, size, 0},
		{"latency", "m/expert 7", func(s *standin.WeightStore) { s.SetLatency(10 * time.Millisecond) }, size, 0},
		{"cut", "m/expert 7", func(s *standin.WeightStore) { s.DropReplies(2) }, size / 2, errkind.StoreUnavailable},
		{"refuse", "m/expert 7", func(s *standin.WeightStore) { s.SetRefuse(true) }, 0, errkind.StoreUnavailable},
		{"stall", "m/expert 7", func(s *standin.WeightStore) { s.SetStall(true) }, 0, errkind.StoreUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := standin.NewWeightStore(size / 10)
			s.Add("m/expert 7", size)
			srv := httptest.NewServer(s)
			t.Cleanup(func() { s.SetStall(false); srv.Close() })
			c.set(s)
			client := weighthttp.New(srv.URL, weighthttp.WithHeaderTimeout(testTimeout))
			n, err := client.Fetch(t.Context(), c.object)
			require.Equal(t, c.kind, errkind.KindOf(err), "%v", err)
			require.Equal(t, c.want, n)
			_, err = client.Fetch(t.Context(), "none")
			if c.kind == 0 {
				require.ErrorIs(t, err, infra.ErrNotFound)
				_, err = client.Fetch(t.Context(), c.object)
				require.Equal(t, errkind.Overloaded, errkind.KindOf(err), "%v", err)
				require.InDelta(t, 10, errkind.From(err).RetryAfter.Seconds(), 1)
			}
		})
	}
}
