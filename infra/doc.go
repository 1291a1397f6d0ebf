// Package infra holds the interfaces of the services that skylarkstep depends
// on: the key-value service, the instance list and the weight store.
package infra
