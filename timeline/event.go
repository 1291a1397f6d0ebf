package timeline

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	RevisionAccepted Kind = "revision_accepted"
	RevisionActive   Kind = "revision_in_force"
	RevisionAlarm    Kind = "revision_alarm"
	MemberJoined     Kind = "member_joined"
	MemberLeft       Kind = "member_left"
	MemberState      Kind = "member_state"
	LeaseAcquired    Kind = "lease_taken"
	LeaseLost        Kind = "lease_lost"
	OrderSent        Kind = "order_sent"
	OrderRefused     Kind = "order_refused"
	OrderAccepted    Kind = "order_accepted"
	RampRestarted    Kind = "ramp_restarted"
	RampStep         Kind = "ramp_step"
	RequestReceived  Kind = "request_received"
	RequestFinished  Kind = "request_finished"
	AttemptStarted   Kind = "attempt_started"
	AttemptEnded     Kind = "attempt_ended"
	Refused          Kind = "refused"
	BackendStarted   Kind = "back_end_started"
	BackendFinished  Kind = "back_end_finished"
	MapSwitched      Kind = "map_switched"
	MapAborted       Kind = "map_aborted"
	StopStep         Kind = "stop_step"
	FreshnessChanged Kind = "freshness_changed"
)

// Event is a recorded event of a process. Fields that do not apply are empty.
type Event struct {
	At          Timestamp `json:"at"`
	Process     string    `json:"process"`
	Incarnation uint64    `json:"incarnation,string"`
	Sequence    uint64    `json:"sequence"`
	Kind        Kind      `json:"kind"`
	RequestID   string    `json:"request_id,omitempty"`
	OperationID string    `json:"operation_id,omitempty"`
	Attempt     uint32    `json:"attempt,omitempty"`
	Customer    string    `json:"customer,omitempty"`
	Backend     string    `json:"back_end,omitempty"`
	Target      string    `json:"target,omitempty"`
	DataCentre  string    `json:"data_centre,omitempty"`
	Group       string    `json:"group,omitempty"`
	Revision    uint64    `json:"revision,omitempty"`
	Error       string    `json:"error,omitempty"`
	DidRun      string    `json:"did_run,omitempty"`
	Detail      string    `json:"detail,omitempty"`
}
