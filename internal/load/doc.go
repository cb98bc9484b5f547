// Package load measures the system under an open-loop load: requests are due at times that
// do not depend on the answers, and latency counts from the time a request was due.
package load
