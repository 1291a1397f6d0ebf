// Package ramp decides how much work a target may have in progress while its
// engine warms up. It is a state machine with no clock of its own.
//
// The limit starts at the initial value of the rule and grows by its factor, at
// most once an interval, until it reaches the limit rule. A step needs evidence:
// as many healthy completions as the limit allows at once, and at least one
// moment at which the limit was fully used. Time alone never raises the limit,
// so an idle target stays where it is.
//
// A relapse starts the ramp again: one overwhelmed answer, several failures in a
// row, or a median pace over a multiple of the norm. The norm is a slow moving
// average of the pace, so that an engine that has become slower for good is
// accepted after some time. After a relapse no work starts for a pause that
// doubles while relapses repeat; otherwise an engine that fails fast would
// consume requests at a high rate.
package ramp
