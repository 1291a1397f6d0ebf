// Package register imports entries and targets from the export of an asset
// register into the inventory. A mapping defines which rows are entries or
// targets and which columns hold their fields. Each invalid cell is reported with
// its row and column.
package register
