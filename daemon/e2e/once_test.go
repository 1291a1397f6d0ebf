package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	enginestandin "github.com/skylarkstep/skylarkstep/engine/standin"
)

// errorAnswer is what the tests read of an error answer.
type errorAnswer struct {
	Kind    string
	DidRun  string `json:"did_run"`
	Message string
	RetryMS int `json:"retry_after_ms"`
}

// issue gets an operation id from an entry and returns it with its target.
func (k *cluster) issue(entry int) (id, target string) {
	res, err := k.request(http.MethodPost, k.entryURL(entry)+"/v1/operations", customerKey, nil, []byte(`{"back_end":"cabina-app"}`))
	require.NoError(k.t, err)
	require.Equal(k.t, http.StatusOK, res.status, "%s", res.body)
	var a struct {
		OperationID string `json:"operation_id"`
	}
	require.NoError(k.t, json.Unmarshal(res.body, &a))
	return a.OperationID, strings.Split(a.OperationID, ".")[2]
}

// book makes a non-idempotent call with the given headers.
func (k *cluster) book(entry int, h http.Header, body string) (*answer, error) {
	return k.request(http.MethodPost, k.entryURL(entry)+"/v1/services/cabina-app/book", customerKey, h, []byte(body))
}

func (k *cluster) mustBook(entry int, h http.Header, body string) *answer {
	res, err := k.book(entry, h, body)
	require.NoError(k.t, err)
	return res
}

func failureOf(t *testing.T, res *answer) errorAnswer {
	var a errorAnswer
	require.NoError(t, json.Unmarshal(res.body, &a), "%s", res.body)
	return a
}

func underID(id string, deadline string) http.Header {
	return http.Header{"Operation-Id": {id}, "X-Deadline-Ms": {deadline}}
}

// executions counts what all services of the back end have run.
func (k *cluster) executions() int {
	n := 0
	for _, s := range k.services {
		n += s.Executions()
	}
	return n
}

func (k *cluster) setFaults(f enginestandin.ServiceFaults) {
	for _, s := range k.services {
		s.SetFaults(f)
	}
}

// state asks an entry for the state of an operation.
func (k *cluster) state(entry int, id string) string {
	res, err := k.request(http.MethodGet, k.entryURL(entry)+"/v1/operations/"+id, customerKey, nil, nil)
	require.NoError(k.t, err)
	var a struct{ State string }
	require.NoError(k.t, json.Unmarshal(res.body, &a), "%s", res.body)
	return a.State
}

// Guards against a second run, or another request's answer, when a call is
// repeated under its id at another entry.
func TestRepeatAtAnotherEntryGetsTheFirstAnswer(t *testing.T) {
	k := startCluster(t, twoByTwo(t))
	id, _ := k.issue(0)
	assert.Equal(t, "absent", k.state(1, id))
	first := k.mustBook(0, underID(id, "5000"), `{"id":"b1"}`)
	require.Equal(t, http.StatusOK, first.status, "%s", first.body)
	assert.Equal(t, id, first.header.Get("Operation-Id"))
	again := k.mustBook(1, underID(id, "5000"), `{"id":"b1"}`)
	assert.Equal(t, string(first.body), string(again.body))
	assert.Equal(t, "true", again.header.Get("X-Replayed"))
	other := failureOf(t, k.mustBook(1, underID(id, "5000"), `{"id":"b2"}`))
	assert.Equal(t, "invalid_request", other.Kind)
	assert.Equal(t, 1, k.executions())
	assert.Equal(t, "finished", k.state(0, id))
}

// Guards against not_run for a call whose dispatch waits in the socket of a
// paused target process and runs when the process resumes.
func TestPausedTargetWithQueuedDispatch(t *testing.T) {
	k := startCluster(t, twoByTwo(t))
	id, target := k.issue(0)
	k.signal(target, syscall.SIGSTOP)
	res := failureOf(t, k.mustBook(0, underID(id, "1000"), `{"id":"b1"}`))
	assert.Equal(t, "unknown", res.DidRun)
	k.signal(target, syscall.SIGCONT)
	require.Eventually(t, func() bool { s := k.state(1, id); return s == "finished" || s == "closed" }, waitBound, 20*time.Millisecond)
	ran := k.executions()
	again := k.mustBook(1, underID(id, "5000"), `{"id":"b1"}`)
	assert.LessOrEqual(t, k.executions(), 1)
	assert.Equal(t, ran, k.executions())
	assert.Equal(t, ran == 1, again.status == http.StatusOK, "%s", again.body)
}

// Guards against a call that is lost or runs twice when its entry dies and the
// caller repeats it at the other entry.
func TestEntryKilledDuringCall(t *testing.T) {
	k := startCluster(t, twoByTwo(t))
	k.setFaults(enginestandin.ServiceFaults{StallAfter: time.Second})
	id, _ := k.issue(0)
	cut := make(chan error, 1)
	go func() {
		_, err := k.book(0, underID(id, "10000"), `{"id":"b1"}`)
		cut <- err
	}()
	require.Eventually(t, func() bool { return k.executions() == 1 }, waitBound, time.Millisecond)
	k.kill(k.config.Inventory.Entries[0].Name)
	require.Error(t, <-cut)
	again := k.mustBook(1, underID(id, "10000"), `{"id":"b1"}`)
	require.Equal(t, http.StatusOK, again.status, "%s", again.body)
	assert.JSONEq(t, `{"id":"b1"}`, string(again.body))
	assert.Equal(t, "true", again.header.Get("X-Replayed"))
	assert.Equal(t, 1, k.executions())
}

// Guards against a restarted target process, whose table is empty, running an
// operation of its predecessor again or calling it not run.
func TestTargetRestartMakesOldOperationsUnknown(t *testing.T) {
	k := startCluster(t, twoByTwo(t))
	id, target := k.issue(0)
	require.Equal(t, http.StatusOK, k.mustBook(0, underID(id, "5000"), `{"id":"b1"}`).status)
	k.kill(target)
	tg, _ := k.config.Target(target)
	k.startTarget(tg)
	k.waitInForce(1)
	for entry := range k.config.Inventory.Entries {
		res := failureOf(t, k.mustBook(entry, underID(id, "5000"), `{"id":"b1"}`))
		assert.Equal(t, "operation_unknown", res.Kind)
		assert.Equal(t, "unknown", res.DidRun)
		assert.Equal(t, "unknown", k.state(entry, id))
	}
	assert.Equal(t, 1, k.executions())
}

// Guards against a retry, or not_run, after the service has taken effect and
// its reply is lost.
func TestReplyDroppedAfterTheEffect(t *testing.T) {
	k := startCluster(t, twoByTwo(t))
	k.setFaults(enginestandin.ServiceFaults{DropResponse: true})
	id, _ := k.issue(0)
	for n, h := range []http.Header{{}, underID(id, "5000"), underID(id, "5000")} {
		res := failureOf(t, k.mustBook(n%2, h, `{"id":"b1"}`))
		assert.Equal(t, "unknown", res.DidRun)
	}
	assert.Equal(t, 2, k.executions())
}

// Guards against losing stored answers at a planned stop.
func TestPlannedStopMovesStoredAnswers(t *testing.T) {
	k := startCluster(t, twoByTwo(t))
	id, target := k.issue(0)
	first := k.mustBook(0, underID(id, "5000"), `{"id":"b1"}`)
	require.Equal(t, http.StatusOK, first.status)
	k.signal(target, syscall.SIGTERM)
	<-k.procs[target].done
	for entry := range k.config.Inventory.Entries {
		again := k.mustBook(entry, underID(id, "5000"), `{"id":"b1"}`)
		require.Equal(t, http.StatusOK, again.status, "%s", again.body)
		assert.Equal(t, string(first.body), string(again.body))
		assert.Equal(t, "finished", k.state(entry, id))
		other := failureOf(t, k.mustBook(entry, underID(id, "5000"), `{"id":"b2"}`))
		assert.Equal(t, "invalid_request", other.Kind)
	}
	assert.Equal(t, 1, k.executions())
}

// Guards against not_run from an entry that refuses a call which another entry
// may be serving under the same id.
func TestRefusalOfSharedIDIsNotNotRun(t *testing.T) {
	k := startCluster(t, twoByTwo(t))
	id, target := k.issue(0)
	require.Equal(t, http.StatusOK, k.mustBook(0, underID(id, "5000"), `{"id":"b1"}`).status)
	url := k.entryURL(1) + "/v1/services/cabina-app/book"
	res, err := k.request(http.MethodPost, url, "nobody", underID(id, "5000"), []byte(`{"id":"b1"}`))
	require.NoError(t, err)
	assert.Equal(t, "unknown", failureOf(t, res).DidRun)
	k.kill(target)
	res = k.mustBook(1, underID(id, "1000"), `{"id":"b1"}`)
	assert.Equal(t, "unknown", failureOf(t, res).DidRun, "%s", res.body)
	// Without an id the entry knows that it has forwarded nothing.
	res, err = k.request(http.MethodPost, url, "nobody", nil, []byte(`{"id":"b1"}`))
	require.NoError(t, err)
	assert.Equal(t, "not_run", failureOf(t, res).DidRun)
}

// Guards against a second run under one key at two entries, also when the reply
// of the claim is lost and while the key-value service is down.
func TestIdempotencyKey(t *testing.T) {
	k := startCluster(t, twoByTwo(t))
	key := func(s string) http.Header { return http.Header{"Idempotency-Key": {s}} }
	k.kv.DropReplies(1)
	first := k.mustBook(0, key("k1"), `{"id":"b1"}`)
	require.Equal(t, http.StatusOK, first.status, "%s", first.body)
	for entry := range k.config.Inventory.Entries {
		again := k.mustBook(entry, key("k1"), `{"id":"b1"}`)
		assert.Equal(t, string(first.body), string(again.body))
		assert.Equal(t, "true", again.header.Get("X-Replayed"))
		other := failureOf(t, k.mustBook(entry, key("k1"), `{"id":"b2"}`))
		assert.Equal(t, "invalid_request", other.Kind)
		assert.Equal(t, "unknown", other.DidRun)
	}
	assert.Equal(t, 1, k.executions())

	k.kv.SetRefuse(true)
	down := k.mustBook(0, key("k2"), `{"id":"b2"}`)
	a := failureOf(t, down)
	assert.Equal(t, "store_unavailable", a.Kind)
	assert.Equal(t, "unknown", a.DidRun)
	assert.Contains(t, a.Message, "repeat under the same key is safe")
	assert.Positive(t, a.RetryMS)
	assert.NotEmpty(t, down.header.Get("Retry-After"))
	assert.Equal(t, 1, k.executions())
	// Calls without a key do not need the service.
	assert.Equal(t, http.StatusOK, k.mustBook(0, nil, `{"id":"b3"}`).status)
	k.kv.SetRefuse(false)
	require.Eventually(t, func() bool { return k.mustBook(0, key("k2"), `{"id":"b2"}`).status == http.StatusOK }, waitBound, 50*time.Millisecond)
	assert.Equal(t, 3, k.executions())
}
