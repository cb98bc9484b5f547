// Package entry is the process on an entry VM: it serves callers and operators, routes
// requests, owns cells and follows the configuration. All entries are alike.
package entry
