package driver

// Seat is a worker as a cell's owner sees it when it places a task.
type Seat struct {
	Worker   string
	Rack     string
	Capacity Resources
	Free     Resources
	// Classes counts the tasks of each class that the worker runs.
	Classes map[string]int
	// Harm is the latency inflation that a task of the class in question is expected to
	// cause on this worker's services; 0 means none.
	Harm float64
	// SameJob counts the tasks of the same job in the worker's rack.
	SameJob int
	// Blocked tells that the task would slow the worker's services too much.
	Blocked bool
	// Serves tells that latency-critical services run on the worker.
	Serves bool
}

// Placer chooses a worker for a task; implementations need not be safe for concurrent use.
type Placer interface {
	// Place returns the index of the chosen seat, or -1 if none fits.
	Place(need Resources, seats []Seat) int
	// Name returns the policy's name for logs.
	Name() string
}
