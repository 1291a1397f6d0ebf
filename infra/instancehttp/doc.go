// Package instancehttp reads the instance list over HTTP. It keeps no state:
// each call shows what the list says at that moment.
package instancehttp
