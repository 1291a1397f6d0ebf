// Package ranks runs an agent process next to each rank of a rank group, and
// the coordinators of the groups. An agent reports the state of its rank to a
// coordinator and forwards the coordinator's orders to the rank. A coordinator
// holds a lease for a group, collects the expert activations of all ranks and
// switches the group to better expert maps. During a switch one rank holds,
// that is pauses before, a coming step (the held step) until all ranks are
// armed for the new map.
package ranks
