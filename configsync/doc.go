// Package configsync accepts configuration changes and propagates revisions.
package configsync
