// Package standin provides stand-ins of the key-value store, the instance list and
// the weight store for tests, which can inject faults into them.
package standin
