// Package engine holds the clients of model engines and plain services.
package engine
