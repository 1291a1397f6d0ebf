// Package config holds the declarations of the operators (inventory and rules),
// the settings of a process, and their validation. A document is checked as a
// whole: every fault is reported with its path, the value found and what was
// expected.
package config
