// Package admission decides which requests a target may start, and when.
package admission
