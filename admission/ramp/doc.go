// Package ramp limits the concurrency of a target while its engine warms up. It is
// a state machine without a clock of its own.
//
// The limit starts at the initial value of the rule and is multiplied by the
// factor, at most once per interval, until it reaches the limit of the rule. A step
// requires as many healthy completions as the current limit, and at least one
// moment at which the limit was fully used. Time alone never raises the limit, so
// an idle target keeps its limit.
//
// A relapse restarts the ramp. Its cause is one overwhelmed result, several
// consecutive failures, or a median unit time over a multiple of the baseline. The
// baseline is a slow moving average of the unit time, so that an engine that has
// become slower for good is accepted after some time. After a relapse no work
// starts for a pause that doubles while relapses repeat. Without the pause, an
// engine that fails fast would consume requests at a high rate.
package ramp
