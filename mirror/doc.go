// Package mirror keeps a copy of the items of the key-value store in memory and
// updates it from watches, lists and other instances. A copy never reverts to
// older contents, and it is complete as of its revision. If the store itself was
// restored to older contents, these are of a newer era and replace the copy.
package mirror
