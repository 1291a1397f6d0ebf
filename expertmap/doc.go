// Package expertmap switches and plans the expert maps of rank groups.
package expertmap
