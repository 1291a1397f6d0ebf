// Package command holds the commands of skylarkctl.
package command
