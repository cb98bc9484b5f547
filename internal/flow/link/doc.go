// Package link connects entries and agents to the owner of a cell. It exchanges frames over one
// stream of a multiplexed session.
package link
