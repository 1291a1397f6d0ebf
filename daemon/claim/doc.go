// Package claim binds an Idempotency-Key of a plain HTTP caller to one
// operation id. The binding, a claim, is created in the key-value store if it
// is absent.
package claim
