// Package upkeep carries out rolling maintenance: of the VMs of a wave, a few at a time are
// emptied of tasks and taken down, in time and with no more down than allowed.
package upkeep
