// Package standin has small stand-ins for the key-value service, the instance
// list and the weight store, with faults that a test turns on and off.
package standin
