// Package standin names the folder of the small stand-ins for the platform and the
// upstreams, which tests and the local command use in place of the real ones.
package standin
