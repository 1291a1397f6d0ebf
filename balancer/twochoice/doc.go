// Package twochoice picks the less loaded of two random targets, in the local
// data centre first.
package twochoice
