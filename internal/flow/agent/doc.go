// Package agent is the part of an agent that runs tasks of jobs made of steps. It reports the state
// of the runner on its VM to the owner of the cell, and forwards the owner's orders to the runner
// under the owner's token and lease.
package agent
