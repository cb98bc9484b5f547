package driver

// Candidate is a worker as a cell's owner sees it when it places a task.
type Candidate struct {
	Worker   string
	Rack     string
	Capacity Resources
	Free     Resources
	// Classes counts the tasks of each class that the worker runs.
	Classes map[string]int
	// Interference is the latency inflation that a task of the class in question is expected to
	// cause on this worker's services; 0 means none.
	Interference float64
	// SameJobInRack counts the tasks of the same job in the worker's rack.
	SameJobInRack int
	// Blocked tells that the task would slow the worker's services too much.
	Blocked bool
	// LatencyCritical tells that latency-critical services run on the worker.
	LatencyCritical bool
}

// Placer chooses a worker for a task; implementations need not be safe for concurrent use.
type Placer interface {
	// Place returns the index of the chosen seat, or -1 if none fits.
	Place(need Resources, seats []Candidate) int
	// Name returns the policy's name for logs.
	Name() string
}
