// Package ucb is an upper-confidence-bound bandit over the targets: MAB-UCB of
// "Content Harvest Network: Optimizing First Mile for Crowdsourced Live
// Streaming", Algorithm 2. It chooses argmin of Q(r) + c*sqrt(log t / N(r)) with
// c < 0, where Q is the running mean cost, N the times chosen and t the number of
// choices. A target that was never chosen is chosen first. The caller adds to
// Counter.Chosen, Finished and CostMicros. A pick checks every target, so its time
// grows with their number.
//
// The choice does not use load reports; only package locality uses them, for the
// spill-over. The costs are as old as the last completion, and the mean covers all
// requests since the start: after a target becomes slow, its mean rises only with
// further slow requests. Entries do not share what they learn. All of them send to
// the target that was best so far until its requests become slower, so they herd.
package ucb
