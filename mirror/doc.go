// Package mirror keeps a copy of the items of the key-value store in memory and
// updates it from watches, lists and other instances. A copy never reverts to
// older contents, and it is complete as of its revision.
package mirror
