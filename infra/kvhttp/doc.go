// Package kvhttp is a client of the key-value service that speaks etcd's v3
// JSON gateway.
package kvhttp
