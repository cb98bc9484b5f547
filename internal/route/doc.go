// Package route is the load balancer of an entry. It chooses an upstream for each request, sends
// the request to the agent on the upstream's VM, retries it or spills it to another data centre,
// and ejects failing upstreams.
package route
