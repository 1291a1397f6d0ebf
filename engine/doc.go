// Package engine defines the interfaces to model engines, plain services and rank
// groups. Its subpackages implement them.
package engine
