// Package settings declares the settings of an entry and of an agent, which come from flags and
// environment variables, and validates them.
package settings
