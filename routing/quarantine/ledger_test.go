package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// crashAt records the crash of a new target at which the given parts were in
// progress.
func crashAt(l *Ledger, s float64, reporter string, suspects ...string) {
	id := CrashID{Target: fmt.Sprintf("t%.3f", s), Incarnation: 1}
	l.RecordCrash(Crash{ID: id, At: at(s), Suspects: SuspectsOf(suspects, ""), Reporters: []string{reporter}})
}

// frequencies returns a Frequency with the given shares; others are 0.001.
func frequencies(shares map[string]float64) Frequency {
	return func(part string) float64 {
		if f, ok := shares[part]; ok {
			return f
		}
		return 0.001
	}
}

func parts(entries []Entry) []string {
	found := []string{}
	for _, e := range entries {
		found = append(found, e.Subject)
	}
	return found
}

var usual = frequencies(map[string]float64{"popular": 0.4})

// Guards against a part that crashes targets and is never found, and against a
// decision before other instances have reported what completed.
func TestThreeCrashesQuarantineNewPart(t *testing.T) {
	l := New()
	l.RecordCompletion("popular", at(0))
	crashAt(l, 1, "a", "popular", "bad")
	crashAt(l, 2, "b", "popular", "bad", "session1")
	require.Empty(t, l.Decide(at(9), "a", usual))
	crashAt(l, 10, "c", "popular", "bad")
	require.Empty(t, l.Decide(at(10.1), "a", usual), "decided before the evidence was complete")
	decided := l.Decide(at(10.5), "a", usual)
	require.Equal(t, []string{"bad"}, parts(decided))
	require.Len(t, decided[0].Crashes, 3)
	require.Equal(t, []string{"a", "b", "c"}, decided[0].Reporters)
	require.Equal(t, Quarantined, decided[0].Phase(at(11)))
	require.Empty(t, l.Decide(at(20), "a", usual))
}

// Guards against a part that is quarantined because it is in every request, also if no
// request has completed since the process started.
func TestPopularPartIsNotBlamed(t *testing.T) {
	l := New()
	for k := range 8 {
		crashAt(l, float64(2*k), "a", "popular", "bad")
	}
	require.Equal(t, []string{"bad"}, parts(l.Decide(at(20), "a", usual)))
}

// Guards against all parts being quarantined that were always in progress together:
// one keeps these requests from the targets, and the first part is in all others.
func TestOnlyOneOfTiedPartsIsBlamed(t *testing.T) {
	equal := func(string) float64 { return 0.1 }
	l := New()
	for k := range 8 {
		crashAt(l, float64(2*k), "a", "first", "bad")
	}
	require.Equal(t, []string{"bad"}, parts(l.Decide(at(20), "a", equal)))
	for k := range 4 {
		crashAt(l, 30+float64(2*k), "a", "first", fmt.Sprint("other", k))
	}
	require.Equal(t, []string{"first"}, parts(l.Decide(at(50), "a", equal)), "the first part crashes targets without the other one")
}

// Guards against a first part that is quarantined when several targets crash at once
// before any request has completed.
func TestFrequentFirstPartNeedsMoreCrashes(t *testing.T) {
	l := New()
	for k := range 6 {
		crashAt(l, 0.01*float64(k), "a", "popular", fmt.Sprint("session", k))
	}
	require.NotContains(t, l.CrashCounts(at(1), usual), "popular")
	require.Empty(t, l.Decide(at(2), "a", usual))
	for k := range 8 {
		crashAt(l, 2+2*float64(k), "a", "popular")
	}
	require.Equal(t, []string{"popular"}, parts(l.Decide(at(20), "a", usual)), "a first part that crashes targets again and again is found")
}

// Guards against a harmless part that is quarantined although a request with it has
// completed since the crashes.
func TestCompletionAcquits(t *testing.T) {
	l := New()
	for k := range 3 {
		crashAt(l, float64(k), "a", "session")
	}
	l.RecordCompletion("session", at(3))
	require.Empty(t, l.Decide(at(5), "a", usual))
	for k := range 4 {
		crashAt(l, 10+0.01*float64(k), "a", "session")
	}
	require.Empty(t, l.Decide(at(12), "a", usual), "a part that completed before was blamed for one failure of many targets")
}

// Guards against a part that once was harmless and crashes targets since.
func TestPartThatBecomesHarmfulIsFound(t *testing.T) {
	l := New()
	l.RecordCompletion("bad", at(0))
	l.RecordCompletion("popular", at(0))
	for k := range 5 {
		crashAt(l, 1+2*float64(k), "a", "bad", "popular")
	}
	require.Equal(t, []string{"bad"}, parts(l.Decide(at(12), "a", usual)))
}

// Guards against the loss of many targets at once, or several times, that is
// attributed to the parts of the requests that were in progress.
func TestMassCrashesBlameNoFrequentPart(t *testing.T) {
	const seeds = 200
	wrong := 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 23))
		l := New()
		shares := map[string]float64{"kind0": 0.46, "kind1": 0.34, "kind2": 0.2}
		for kind := range shares {
			l.RecordCompletion(kind, at(0))
		}
		for wave := range 5 {
			for k := range 10 {
				var suspects []string
				for range 1 + rng.IntN(4) {
					suspects = append(suspects, fmt.Sprintf("kind%d", rng.IntN(3)), fmt.Sprintf("session%d", rng.IntN(400)))
				}
				crashAt(l, 1+4*float64(wave)+0.001*float64(k), "a", suspects...)
			}
		}
		for _, e := range l.Decide(at(30), "a", frequencies(shares)) {
			require.NotContains(t, shares, e.Subject, "seed %d", seed)
			wrong++
		}
	}
	require.LessOrEqual(t, wrong, seeds/100, "rare sessions were blamed although nothing else completed")
}

// Guards against both errors beside crashes for other reasons: a culprit part that
// is not found after five crashes, and a harmless one that is quarantined. Targets crash
// alone and in groups all the time; requests with harmless parts complete elsewhere.
func TestBlameBesideOtherCrashes(t *testing.T) {
	const seeds = 300
	missed, wrong := 0, 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 29))
		l := New()
		l.RecordCompletion("kind0", at(0))
		session := func() string { return fmt.Sprintf("session%d", rng.IntN(300)) }
		guilty, found := 0, false
		for k := 0; k < 400 && guilty < 5; k++ {
			now := 0.1 * float64(k)
			inProgress := func(more ...string) []string {
				for range rng.IntN(4) {
					more = append(more, "kind0", session())
				}
				return more
			}
			switch rng.IntN(20) {
			case 0: // the guilty part
				crashAt(l, now, "a", inProgress("bad", "kind0")...)
				guilty++
			case 1: // another crash
				crashAt(l, now, "a", inProgress()...)
			case 2: // several at once
				for n := range 1 + rng.IntN(6) {
					crashAt(l, now+0.001*float64(n+1), "a", inProgress()...)
				}
			default:
				for range 3 {
					l.RecordCompletion(session(), at(now))
					l.RecordCompletion("kind0", at(now))
				}
			}
			for _, e := range l.Decide(at(now+0.05), "a", frequencies(map[string]float64{"kind0": 0.4, "bad": 0.05})) {
				if e.Subject == "bad" {
					found = true
				} else {
					wrong++
				}
			}
		}
		for _, e := range l.Decide(at(50), "a", usual) {
			found = found || e.Subject == "bad"
		}
		if !found {
			missed++
		}
	}
	t.Logf("%d seeds: guilty part missed after 5 crashes in %d, sound parts blamed: %d", seeds, missed, wrong)
	require.Zero(t, missed)
	require.LessOrEqual(t, wrong, seeds/100)
}

// Guards against a second part that crashes targets and hides behind the first.
func TestTwoPartsThatCrashTargets(t *testing.T) {
	l := New()
	l.RecordCompletion("popular", at(0))
	for k := range 4 {
		crashAt(l, 1+float64(k), "a", "popular", "bad1")
		crashAt(l, 1.5+float64(k), "a", "popular", "bad2")
	}
	require.ElementsMatch(t, []string{"bad1", "bad2"}, parts(l.Decide(at(9), "a", usual)))
}

// Guards against a quarantine that never ends, and against one whose end lets many
// requests through at once.
func TestTrialAfterQuarantine(t *testing.T) {
	newQuarantined := func() (*Ledger, time.Time) {
		l := New()
		for k := range 3 {
			crashAt(l, float64(k), "a", "bad")
		}
		e := l.Decide(at(3), "a", usual)[0]
		return l, e.Ends().Add(time.Second)
	}
	l, trial := newQuarantined()
	require.Equal(t, HalfOpen, l.Entries()[0].Phase(trial))
	l.RecordCrash(Crash{ID: CrashID{"again", 1}, At: trial, Suspects: SuspectsOf([]string{"bad"}, ""), Reporters: []string{"a"}})
	again := l.Decide(trial.Add(time.Second), "a", usual)
	require.Equal(t, []string{"bad"}, parts(again))
	require.True(t, again[0].Quarantined)
	require.Equal(t, 2*Retention, again[0].Duration)

	l, trial = newQuarantined()
	l.RecordCompletion("bad", trial)
	cleared := l.Decide(trial.Add(time.Second), "a", usual)
	require.Equal(t, []string{"bad"}, parts(cleared))
	require.False(t, cleared[0].Quarantined)
	l.Expire(trial.Add(time.Hour))
	require.Empty(t, l.Entries())
}

// Guards against memory without limit, whatever parts callers invent.
func TestLedgerIsBounded(t *testing.T) {
	l := New()
	for k := range 3 * maxCrashes {
		var suspects []string
		for p := range 2 * maxSuspects {
			suspects = append(suspects, fmt.Sprintf("p%d-%d", k, p))
		}
		crashAt(l, float64(k), "a", suspects...)
		l.Set(fmt.Sprint(k), true, "operator", at(float64(k)))
		for _, part := range suspects[:32] {
			l.RecordCompletion(part, at(float64(k)))
		}
	}
	require.LessOrEqual(t, len(l.crashes), maxCrashes)
	require.LessOrEqual(t, len(l.entries), maxEntries)
	require.LessOrEqual(t, len(l.completed), maxCompletions)
	l.Expire(at(1e6))
	require.Empty(t, l.crashes)
	require.Empty(t, l.entries)
}

// Guards against instances that keep different crash reports, although every message
// has reached them, in whatever order and however often.
func TestEvidenceConverges(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 7))
		ledgers := make([]*Ledger, 6)
		for i := range ledgers {
			ledgers[i] = New()
		}
		var messages []State
		for k := range 40 {
			i := rng.IntN(len(ledgers))
			now := at(float64(k))
			switch rng.IntN(5) {
			case 0:
				ledgers[i].RecordCompletion(fmt.Sprintf("p%d", rng.IntN(5)), now)
			case 1:
				ledgers[i].Set(fmt.Sprintf("p%d", rng.IntN(5)), rng.IntN(2) == 0, fmt.Sprintf("i%d", i), now)
			default:
				crashAt(ledgers[i], float64(rng.IntN(10)), fmt.Sprintf("i%d", i), fmt.Sprintf("p%d", rng.IntN(5)))
			}
			messages = append(messages, ledgers[i].TakeChanges(now))
		}
		for _, l := range ledgers {
			for _, m := range rng.Perm(len(messages)) {
				l.Merge(messages[m], at(50))
				l.Merge(messages[rng.IntN(len(messages))], at(50))
			}
		}
		for i, l := range ledgers {
			require.Equal(t, ledgers[0].Digest(), l.Digest(), "seed %d, ledger %d", seed, i)
		}
	}
}

// Guards against a decision that an operator has taken back and that comes back
// with the crash reports of another instance.
func TestClearedPartStaysCleared(t *testing.T) {
	a, b := New(), New()
	for k := range 4 {
		crashAt(a, float64(k), "a", "bad")
	}
	a.Decide(at(5), "a", usual)
	b.Merge(a.State(at(5)), at(5))
	before := a.State(at(6))
	b.Set("bad", false, "operator", at(7))
	b.Merge(before, at(8))
	require.Empty(t, b.Decide(at(9), "b", usual))
	require.Equal(t, Cleared, b.Entries()[0].Phase(at(9)))
	a.Merge(b.State(at(9)), at(9))
	require.Empty(t, a.Decide(at(10), "a", usual))
	require.Equal(t, Cleared, a.Entries()[0].Phase(at(10)))
}
