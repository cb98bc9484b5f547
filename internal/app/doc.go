// Package app constructs an entry or an agent with its dependencies from its settings.
package app
