// Package config defines the configuration that operators declare (inventory and
// rules) and the settings of a process, and validates both. A document is
// validated as a whole: each invalid field is reported with its path, the value
// found and what was expected.
package config
