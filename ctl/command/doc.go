// Package command implements the commands of skylarkctl.
package command
