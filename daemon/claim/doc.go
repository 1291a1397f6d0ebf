// Package claim binds an Idempotency-Key of a plain HTTP caller to one operation
// id, by creating a claim in the key-value service if it is absent.
package claim
