// Package ctl holds the commands of skylarkctl.
package ctl
