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

// errorResponse holds the fields of an error response that the tests check.
type errorResponse struct {
	Kind    string
	DidRun  string `json:"did_run"`
	Message string
	RetryMS int `json:"retry_after_ms"`
}

// issueOperationID requests an operation id from an entry and returns it with the
// target that it names.
func (k *cluster) issueOperationID(entry int) (id, target string) {
	res, err := k.request(http.MethodPost, k.entryURL(entry)+"/v1/operations", customerKey, nil, []byte(`{"back_end":"cabina-app"}`))
	require.NoError(k.t, err)
	require.Equal(k.t, http.StatusOK, res.status, "%s", res.body)
	var operation struct {
		OperationID string `json:"operation_id"`
	}
	require.NoError(k.t, json.Unmarshal(res.body, &operation))
	return operation.OperationID, strings.Split(operation.OperationID, ".")[2]
}

// book makes a non-idempotent call with the given headers.
func (k *cluster) book(entry int, h http.Header, body string) (*httpResponse, error) {
	return k.request(http.MethodPost, k.entryURL(entry)+"/v1/services/cabina-app/book", customerKey, h, []byte(body))
}

func (k *cluster) mustBook(entry int, h http.Header, body string) *httpResponse {
	res, err := k.book(entry, h, body)
	require.NoError(k.t, err)
	return res
}

func decodeError(t *testing.T, res *httpResponse) errorResponse {
	var response errorResponse
	require.NoError(t, json.Unmarshal(res.body, &response), "%s", res.body)
	return response
}

func operationHeader(id string, deadline string) http.Header {
	return http.Header{"Operation-Id": {id}, "X-Deadline-Ms": {deadline}}
}

// executions returns the number of calls that all services have executed.
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

// operationState returns the state of an operation according to an entry.
func (k *cluster) operationState(entry int, id string) string {
	res, err := k.request(http.MethodGet, k.entryURL(entry)+"/v1/operations/"+id, customerKey, nil, nil)
	require.NoError(k.t, err)
	var operation struct{ State string }
	require.NoError(k.t, json.Unmarshal(res.body, &operation), "%s", res.body)
	return operation.State
}

// Guards against running a call twice, or returning the response of another
// request, when the call is retried under its id through another entry.
func TestRepeatAtAnotherEntryGetsTheFirstAnswer(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	id, _ := k.issueOperationID(0)
	assert.Equal(t, "absent", k.operationState(1, id))
	first := k.mustBook(0, operationHeader(id, "5000"), `{"id":"b1"}`)
	require.Equal(t, http.StatusOK, first.status, "%s", first.body)
	assert.Equal(t, id, first.header.Get("Operation-Id"))
	again := k.mustBook(1, operationHeader(id, "5000"), `{"id":"b1"}`)
	assert.Equal(t, string(first.body), string(again.body))
	assert.Equal(t, "true", again.header.Get("X-Replayed"))
	other := decodeError(t, k.mustBook(1, operationHeader(id, "5000"), `{"id":"b2"}`))
	assert.Equal(t, "invalid_request", other.Kind)
	assert.Equal(t, 1, k.executions())
	assert.Equal(t, "finished", k.operationState(0, id))
}

// Guards against reporting not_run for a call whose dispatch waits in the socket
// of a paused target process and runs when the process resumes.
func TestPausedTargetWithQueuedDispatch(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	id, target := k.issueOperationID(0)
	k.signal(target, syscall.SIGSTOP)
	res := decodeError(t, k.mustBook(0, operationHeader(id, "1000"), `{"id":"b1"}`))
	assert.Equal(t, "unknown", res.DidRun)
	k.signal(target, syscall.SIGCONT)
	require.Eventually(t, func() bool { s := k.operationState(1, id); return s == "finished" || s == "closed" }, waitTimeout, 20*time.Millisecond)
	ran := k.executions()
	again := k.mustBook(1, operationHeader(id, "5000"), `{"id":"b1"}`)
	assert.LessOrEqual(t, k.executions(), 1)
	assert.Equal(t, ran, k.executions())
	assert.Equal(t, ran == 1, again.status == http.StatusOK, "%s", again.body)
}

// Guards against a call that is lost or runs twice when its entry is killed and
// the caller retries it through the other entry.
func TestEntryKilledDuringCall(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	k.setFaults(enginestandin.ServiceFaults{StallAfter: time.Second})
	id, _ := k.issueOperationID(0)
	interrupted := make(chan error, 1)
	go func() {
		_, err := k.book(0, operationHeader(id, "10000"), `{"id":"b1"}`)
		interrupted <- err
	}()
	require.Eventually(t, func() bool { return k.executions() == 1 }, waitTimeout, time.Millisecond)
	k.kill(k.config.Inventory.Entries[0].Name)
	require.Error(t, <-interrupted)
	again := k.mustBook(1, operationHeader(id, "10000"), `{"id":"b1"}`)
	require.Equal(t, http.StatusOK, again.status, "%s", again.body)
	assert.JSONEq(t, `{"id":"b1"}`, string(again.body))
	assert.Equal(t, "true", again.header.Get("X-Replayed"))
	assert.Equal(t, 1, k.executions())
}

// Guards against a restarted target process, whose operation table is empty, that
// runs an operation of its predecessor again or reports not_run for it.
func TestTargetRestartMakesOldOperationsUnknown(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	id, target := k.issueOperationID(0)
	require.Equal(t, http.StatusOK, k.mustBook(0, operationHeader(id, "5000"), `{"id":"b1"}`).status)
	k.kill(target)
	tg, _ := k.config.Target(target)
	k.startTarget(tg)
	k.waitActive(1)
	for entry := range k.config.Inventory.Entries {
		res := decodeError(t, k.mustBook(entry, operationHeader(id, "5000"), `{"id":"b1"}`))
		assert.Equal(t, "operation_unknown", res.Kind)
		assert.Equal(t, "unknown", res.DidRun)
		assert.Equal(t, "unknown", k.operationState(entry, id))
	}
	assert.Equal(t, 1, k.executions())
}

// Guards against running a call again, or reporting not_run, after the service has
// executed it and the reply is lost.
func TestReplyDroppedAfterTheEffect(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	k.setFaults(enginestandin.ServiceFaults{DropResponse: true})
	id, _ := k.issueOperationID(0)
	for n, h := range []http.Header{{}, operationHeader(id, "5000"), operationHeader(id, "5000")} {
		res := decodeError(t, k.mustBook(n%2, h, `{"id":"b1"}`))
		assert.Equal(t, "unknown", res.DidRun)
	}
	assert.Equal(t, 2, k.executions())
}

// Guards against losing stored responses at a planned stop.
func TestPlannedStopMovesStoredAnswers(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	id, target := k.issueOperationID(0)
	first := k.mustBook(0, operationHeader(id, "5000"), `{"id":"b1"}`)
	require.Equal(t, http.StatusOK, first.status)
	k.signal(target, syscall.SIGTERM)
	<-k.processes[target].done
	for entry := range k.config.Inventory.Entries {
		again := k.mustBook(entry, operationHeader(id, "5000"), `{"id":"b1"}`)
		require.Equal(t, http.StatusOK, again.status, "%s", again.body)
		assert.Equal(t, string(first.body), string(again.body))
		assert.Equal(t, "finished", k.operationState(entry, id))
		other := decodeError(t, k.mustBook(entry, operationHeader(id, "5000"), `{"id":"b2"}`))
		assert.Equal(t, "invalid_request", other.Kind)
	}
	assert.Equal(t, 1, k.executions())
}

// Guards against an entry that reports not_run when it refuses a call that another
// entry may be serving under the same id.
func TestRefusalOfSharedIDIsNotNotRun(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	id, target := k.issueOperationID(0)
	require.Equal(t, http.StatusOK, k.mustBook(0, operationHeader(id, "5000"), `{"id":"b1"}`).status)
	url := k.entryURL(1) + "/v1/services/cabina-app/book"
	res, err := k.request(http.MethodPost, url, "nobody", operationHeader(id, "5000"), []byte(`{"id":"b1"}`))
	require.NoError(t, err)
	assert.Equal(t, "unknown", decodeError(t, res).DidRun)
	k.kill(target)
	res = k.mustBook(1, operationHeader(id, "1000"), `{"id":"b1"}`)
	assert.Equal(t, "unknown", decodeError(t, res).DidRun, "%s", res.body)
	// Without an id no other entry can serve the call, and this one has not
	// forwarded it.
	res, err = k.request(http.MethodPost, url, "nobody", nil, []byte(`{"id":"b1"}`))
	require.NoError(t, err)
	assert.Equal(t, "not_run", decodeError(t, res).DidRun)
}

// Guards against running a call twice under one idempotency key at two entries,
// including when the reply to the claim of the key is lost and while the key-value
// store is down.
func TestIdempotencyKey(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	key := func(s string) http.Header { return http.Header{"Idempotency-Key": {s}} }
	k.kv.DropReplies(1)
	first := k.mustBook(0, key("k1"), `{"id":"b1"}`)
	require.Equal(t, http.StatusOK, first.status, "%s", first.body)
	for entry := range k.config.Inventory.Entries {
		again := k.mustBook(entry, key("k1"), `{"id":"b1"}`)
		assert.Equal(t, string(first.body), string(again.body))
		assert.Equal(t, "true", again.header.Get("X-Replayed"))
		other := decodeError(t, k.mustBook(entry, key("k1"), `{"id":"b2"}`))
		assert.Equal(t, "invalid_request", other.Kind)
		assert.Equal(t, "unknown", other.DidRun)
	}
	assert.Equal(t, 1, k.executions())

	k.kv.SetRefuse(true)
	down := k.mustBook(0, key("k2"), `{"id":"b2"}`)
	failure := decodeError(t, down)
	assert.Equal(t, "store_unavailable", failure.Kind)
	assert.Equal(t, "unknown", failure.DidRun)
	assert.Contains(t, failure.Message, "repeat under the same key is safe")
	assert.Positive(t, failure.RetryMS)
	assert.NotEmpty(t, down.header.Get("Retry-After"))
	assert.Equal(t, 1, k.executions())
	// Calls without a key do not need the store.
	assert.Equal(t, http.StatusOK, k.mustBook(0, nil, `{"id":"b3"}`).status)
	k.kv.SetRefuse(false)
	require.Eventually(t, func() bool { return k.mustBook(0, key("k2"), `{"id":"b2"}`).status == http.StatusOK }, waitTimeout, 50*time.Millisecond)
	assert.Equal(t, 3, k.executions())
}
