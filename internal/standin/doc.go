// Package standin holds what the small stand-ins below it share. They take the place of the
// platform and the upstreams in tests and in the local command.
package standin
