// Package agent is the part of an agent that runs tasks of jobs made of steps: it tells the
// owner of the cell what the runner beside it holds, and passes orders on under the owner's
// token and lease.
package agent
