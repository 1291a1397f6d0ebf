package concurrency

import (
	"time"

	"github.com/skylarkstep/skylarkstep/routing"
)

// Model predicts the passes of a rank group from the times of its engines.
type Model struct {
	// base is the time of a pass without requests, and perRequest what each request
	// at a rank adds, both with an even expert load and no slow rank.
	base, perRequest time.Duration
	// passes is the number of passes that a usual response takes.
	passes float64
	// expertShare is the part of the work that is done where the experts are.
	expertShare float64
}

// NewModel returns the model of the engines of a back end, or false if their times
// are not known.
func NewModel(e *routing.EngineTimes) (Model, bool) {
	if e == nil || e.StepsPerPass < 1 || e.Step <= 0 || e.UsualResponse < 1 {
		return Model{}, false
	}
	steps := time.Duration(e.StepsPerPass)
	context := float64(e.UsualPrompt) + float64(e.UsualResponse)/2
	perStep := e.PerRequest + time.Duration(context/1000*float64(e.PerContext))
	passes := max(1, float64(e.UsualResponse)/float64(e.StepsPerPass))
	return Model{base: steps * e.Step, perRequest: steps * perStep, passes: passes, expertShare: e.ExpertShare}, true
}

// Pace returns by which factor passes take longer than with an even expert load and
// healthy ranks. imbalance is the load of the most loaded rank relative to the mean,
// and slowdown the slowdown factor of the slowest rank.
func (m Model) Pace(imbalance, slowdown float64) float64 {
	return (1-m.expertShare)*max(1, slowdown) + m.expertShare*max(1, imbalance)
}

// PassTime returns the time of a pass with the given number of requests at each rank.
func (m Model) PassTime(requestsPerRank, pace float64) time.Duration {
	return time.Duration(pace * (float64(m.base) + requestsPerRank*float64(m.perRequest)))
}

// ResponseTime returns how long a usual response takes with passes of a length.
func (m Model) ResponseTime(pass time.Duration) time.Duration {
	return time.Duration(m.passes * float64(pass))
}
