// Package client calls the HTTP interfaces of an entry, for callers and operators.
package client
