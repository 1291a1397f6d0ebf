// Package infra defines the interfaces of the services that skylarkstep depends
// on: the key-value store, the instance list and the weight store.
package infra
