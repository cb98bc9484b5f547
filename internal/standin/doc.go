// Package standin contains helpers shared by its subpackages, which are test doubles of the
// platform's services and of upstreams. Tests and the local command use them.
package standin
