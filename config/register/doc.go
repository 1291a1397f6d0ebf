// Package register imports the export of an asset register into the inventory.
// A mapping says which rows are entries and targets and which columns hold
// their fields. Every fault is reported with its row and column.
package register
