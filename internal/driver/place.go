package driver

// Candidate is a worker that the owner of a cell considers during a placement round.
type Candidate struct {
	Worker   string
	Rack     string
	Capacity Resources
	Free     Resources
	// Classes is the number of tasks of each class on the worker.
	Classes map[string]int
	// Interference is the expected relative latency increase that the task to be placed would
	// cause for the services on the worker; 0 means none.
	Interference float64
	// SameJobInRack is the number of tasks of the same job in the worker's rack.
	SameJobInRack int
	// Blocked reports whether the task must not be placed here, because its interference with
	// the services on the worker would be too high.
	Blocked bool
	// LatencyCritical reports whether latency-critical services run on the worker.
	LatencyCritical bool
}

// Placer is a placement policy; implementations need not be safe for concurrent use.
type Placer interface {
	// Place returns the index of the chosen candidate, or -1 if none fits.
	Place(need Resources, candidates []Candidate) int
	// Name returns the name of the policy for logs.
	Name() string
}
