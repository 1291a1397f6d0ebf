// Package gateway defines the messages of etcd's v3 JSON gateway that the client
// and the stand-in use, and converts them to and from the types of package infra.
package gateway

import (
	"time"

	"github.com/skylarkstep/skylarkstep/infra"
)

// Paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// gRPC codes in the gateway's error responses.
const (
	CodeInvalidArgument = 3
	CodeNotFound        = 5
	CodeOutOfRange      = 11
	CodeUnavailable     = 14
)

// Error messages of etcd that the client distinguishes.
const (
	TextTooLarge      = "etcdserver: request is too large"
	TextLeaseNotFound = "etcdserver: requested lease not found"
	TextCompacted     = "etcdserver: mvcc: required revision has been compacted"
)

// DeleteEvent is the type of a deletion's event. The gateway omits the type of a put.
const DeleteEvent = "DELETE"

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
	// Era is the era in which the stand-in responded. etcd has no eras.
	Era int64 `json:"-"`
}

// KeyValue is one stored key with its value.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys in [Key, RangeEnd), or Key alone.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// Compare is a condition on the mod revision of a key.
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest deletes one key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// RequestOp has exactly one of its fields set.
type RequestOp struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest runs the operations of Success if all conditions of Compare hold.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// LeaseRequest is the body of a grant, keepalive or revoke. TTL is in seconds.
type LeaseRequest struct {
	TTL int64 `json:"TTL,string,omitempty"`
	ID  int64 `json:"ID,string,omitempty"`
}

// LeaseResponse is the response to a grant or revoke, and the result of a keepalive.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is one message of the keepalive stream.
type KeepAliveResponse struct {
	Result *LeaseResponse `json:"result,omitempty"`
	Error  *Status        `json:"error,omitempty"`
}

// WatchCreate holds the parameters of a new watch.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchRequest is the body of the request that opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchEvent is one change of a key.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResult is the result of one message of the watch stream.
type WatchResult struct {
	Header          Header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	CancelReason    string       `json:"cancel_reason,omitempty"`
	Events          []WatchEvent `json:"events,omitempty"`
}

// WatchResponse is one message of the watch stream.
type WatchResponse struct {
	Result *WatchResult `json:"result,omitempty"`
	Error  *Status      `json:"error,omitempty"`
}

// Status is the body of an error response.
type Status struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// Prefix returns the key and range end that select all keys with the prefix.
func Prefix(prefix string) (key, end []byte) {
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return []byte(prefix), end[:i+1]
		}
	}
	// A range end of one zero byte means all keys from key on.
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	return []byte(prefix), []byte{0}
}

// FromTxn converts a transaction to a request.
func FromTxn(t infra.Txn) TxnRequest {
	var r TxnRequest
	for _, c := range t.Conditions {
		r.Compare = append(r.Compare, Compare{Result: "EQUAL", Target: "MOD", Key: []byte(c.Key), ModRevision: c.ModRevision})
	}
	for _, p := range t.Puts {
		r.Success = append(r.Success, RequestOp{Put: &PutRequest{Key: []byte(p.Key), Value: p.Value, Lease: p.Lease.Number}})
	}
	for _, d := range t.Deletes {
		r.Success = append(r.Success, RequestOp{Delete: &DeleteRequest{Key: []byte(d)}})
	}
	return r
}

// Item converts a stored key to an item.
func (k KeyValue) Item() infra.Item {
	return infra.Item{
		Key: string(k.Key), Value: k.Value, CreateRevision: k.CreateRevision,
		ModRevision: k.ModRevision, Lease: infra.LeaseID{Number: k.Lease},
	}
}

// Items converts the keys of a response to items.
func (r RangeResponse) Items() []infra.Item {
	items := make([]infra.Item, 0, len(r.Kvs))
	for _, k := range r.Kvs {
		items = append(items, k.Item())
	}
	return items
}

// InfraEvents converts the changes of a watch message to events.
func (r WatchResult) InfraEvents() []infra.Event {
	events := make([]infra.Event, 0, len(r.Events))
	for _, e := range r.Events {
		events = append(events, infra.Event{Item: e.Kv.Item(), Deleted: e.Type == DeleteEvent})
	}
	return events
}

// Seconds returns a TTL in seconds, rounded up because the gateway has only whole
// seconds.
func Seconds(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }
