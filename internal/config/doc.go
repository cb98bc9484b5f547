// Package config holds the configuration document that is in force, watches the key-value
// service for changes to it, and writes new versions.
package config
