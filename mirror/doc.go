// Package mirror keeps a copy of the key-value service's items in memory and
// brings it up to date from watches, lists and other instances. A copy never
// goes back: what it holds is complete as of its revision.
package mirror
