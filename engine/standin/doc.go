// Package standin has small stand-ins of model engines and plain services for
// tests. They use only package time, so they also run in virtual time.
package standin
