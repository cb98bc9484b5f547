// Package upkeep carries out rolling maintenance. It evacuates the VMs of a wave and takes them
// down a few at a time, within the time of the wave and with no more VMs down at once than allowed.
package upkeep
