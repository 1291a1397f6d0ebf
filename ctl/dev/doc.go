// Package dev runs a whole small deployment in one process on loopback, with
// stand-ins for everything outside the system.
package dev
