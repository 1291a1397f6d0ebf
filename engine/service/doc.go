// Package service implements an HTTP client for plain services.
package service
