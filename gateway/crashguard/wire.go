package crashguard

import (
	"time"

	"github.com/skylarkstep/skylarkstep/routing/quarantine"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Encode converts crash reports to their message. Times become ages.
func Encode(s quarantine.State) *wirepb.QuarantineState {
	w := &wirepb.QuarantineState{}
	for _, crash := range s.Crashes {
		w.Crashes = append(w.Crashes, &wirepb.TargetCrash{
			Target: crash.ID.Target, Incarnation: crash.ID.Incarnation, AgeMs: uint64(crash.Age.Milliseconds()),
			Suspects: encodeSuspects(crash.Suspects), Reporters: crash.Reporters,
		})
	}
	for _, completion := range s.Completions {
		w.Completions = append(w.Completions, &wirepb.PartCompletion{Part: completion.Subject, AgeMs: uint64(completion.Age.Milliseconds())})
	}
	for _, e := range s.Entries {
		d := &wirepb.PartDecision{
			Part: e.Subject, Version: e.Version, Quarantined: e.Quarantined, AgeMs: uint64(e.Age.Milliseconds()),
			DurationMs: uint64(e.Duration.Milliseconds()), Reporters: e.Reporters, DecidedBy: e.DecidedBy,
		}
		for _, id := range e.Crashes {
			d.Crashes = append(d.Crashes, &wirepb.TargetCrash{Target: id.Target, Incarnation: id.Incarnation})
		}
		w.Decisions = append(w.Decisions, d)
	}
	return w
}

func encodeSuspects(suspects []quarantine.Suspect) []*wirepb.PromptPart {
	var encoded []*wirepb.PromptPart
	for _, s := range suspects {
		encoded = append(encoded, &wirepb.PromptPart{Part: s.Subject, Depth: uint32(s.Depth), Requests: s.Requests})
	}
	return encoded
}

func decodeSuspects(encoded []*wirepb.PromptPart) []quarantine.Suspect {
	var suspects []quarantine.Suspect
	for _, p := range encoded {
		suspects = append(suspects, quarantine.Suspect{Subject: p.GetPart(), Depth: int(p.GetDepth()), Requests: p.GetRequests()})
	}
	return suspects
}

// Decode decodes crash reports that are older by delay than when they were sent.
func Decode(w *wirepb.QuarantineState, delay time.Duration) quarantine.State {
	age := func(ms uint64) time.Duration { return time.Duration(ms)*time.Millisecond + delay }
	var s quarantine.State
	for _, crash := range w.GetCrashes() {
		s.Crashes = append(s.Crashes, quarantine.CrashState{
			ID: quarantine.CrashID{Target: crash.GetTarget(), Incarnation: crash.GetIncarnation()}, Age: age(crash.GetAgeMs()),
			Suspects: decodeSuspects(crash.GetSuspects()), Reporters: crash.GetReporters(),
		})
	}
	for _, completion := range w.GetCompletions() {
		s.Completions = append(s.Completions, quarantine.CompletionState{Subject: completion.GetPart(), Age: age(completion.GetAgeMs())})
	}
	for _, d := range w.GetDecisions() {
		e := quarantine.Entry{
			Subject: d.GetPart(), Version: d.GetVersion(), Quarantined: d.GetQuarantined(),
			Duration: time.Duration(d.GetDurationMs()) * time.Millisecond, Reporters: d.GetReporters(), DecidedBy: d.GetDecidedBy(),
		}
		for _, crash := range d.GetCrashes() {
			e.Crashes = append(e.Crashes, quarantine.CrashID{Target: crash.GetTarget(), Incarnation: crash.GetIncarnation()})
		}
		s.Entries = append(s.Entries, quarantine.EntryState{Entry: e, Age: age(d.GetAgeMs())})
	}
	return s
}
