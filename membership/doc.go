// Package membership detects failed instances and chooses subsets of peers.
package membership
