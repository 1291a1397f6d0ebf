// Package locality adds the order of data centres to a policy: the local data
// centre first, the others by load.
//
// The policy chooses among the local targets. While its choice has a free slot,
// that is the pick. Otherwise the policy also chooses among the targets of the
// other data centres, and the remote choice wins if its load is clearly lower.
// No data centre is preferred among the others; the customer's allowed data
// centres limit both choices.
package locality
