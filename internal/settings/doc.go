// Package settings holds the settings of each role, as flags and environment variables,
// and checks them.
package settings
