// Package link connects entries and agents to the owner of a cell, by frames over one stream of a multiplexed session.
package link
