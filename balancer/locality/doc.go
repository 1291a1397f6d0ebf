// Package locality adds a preference for the local data centre to a policy.
//
// The policy first chooses among the local targets. If that target has a free slot,
// it is the pick. Otherwise the policy also chooses among the targets of all other
// data centres, and this remote target is picked if its load is clearly lower (the
// spill-over). No remote data centre is preferred over another. The customer's
// allowed data centres limit both choices.
package locality
