// Package kvhttp is a client of the key-value store that uses etcd's v3 JSON
// gateway.
package kvhttp
