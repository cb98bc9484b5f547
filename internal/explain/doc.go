// Package explain merges the log lines of several processes that concern one job, step or task.
package explain
