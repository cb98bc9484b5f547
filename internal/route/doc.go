// Package route chooses an upstream for each request, sends the request through the agent
// beside it, and decides on retries, spills to other data centres and what a caller is
// told.
package route
