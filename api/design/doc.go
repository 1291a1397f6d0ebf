// Package design is the goa design of the HTTP APIs that an entry serves.
package design
