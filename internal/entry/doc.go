// Package entry implements the process on an entry VM. It serves callers and operators, routes
// requests to upstreams, owns cells and follows the configuration. All entries have the same role.
package entry
