// Package ucb is an upper-confidence-bound bandit over the targets: MAB-UCB of
// "Content Harvest Network: Optimizing First Mile for Crowdsourced Live
// Streaming", Algorithm 2. It chooses argmin of Q(r) + c*sqrt(log t / N(r)) with
// c < 0, where Q is the running mean cost, N the times chosen and t the number of
// choices. A target that was never chosen goes first. The caller adds to
// Counter.Chosen, Finished and CostMicros. A pick looks at every target, so its
// time grows with their number.
//
// Reports of any age, or none, make no difference to the choice itself; package
// locality reads them for the spill-over. The knowledge is as old as the last
// completion, and the mean never forgets: after a target turns slow, its mean
// rises only with further bad answers. Entries learn alone, and all of them send
// to the target that was best so far until its answers get worse; they herd.
package ucb
