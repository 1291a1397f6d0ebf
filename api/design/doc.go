// Package design describes the HTTP interfaces of an entry instance.
package design
