// Package weighthttp reads weight objects over HTTP.
package weighthttp
