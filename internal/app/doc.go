// Package app wires each role from its settings.
package app
