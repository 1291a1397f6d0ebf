// Package ranks runs beside each rank of a group. Its agent reads the rank and
// passes on orders; one of the agents, by lease, also coordinates: it gathers
// which experts are in demand and switches the group to better maps.
package ranks
