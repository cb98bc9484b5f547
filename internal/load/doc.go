// Package load measures the system under an open-loop load: requests are sent at times that do
// not depend on earlier answers, and latency counts from the scheduled time, so that a slow system
// does not reduce the load or hide its own queueing delay.
package load
