// Package instancehttp is a client of the instance list over HTTP. It keeps no
// state: each call reads the current list.
package instancehttp
