// Package dev runs a complete small deployment in one process on loopback, with
// stand-ins for the key-value store, the instance list and the back ends.
package dev
