package intake

import "math"

const (
	// budgetFraction is the part of a memory limit that connections may hold, and softFraction that of the
	// soft limit of the Go runtime, which includes it. The difference is the process's own state and the
	// garbage between two collections. The rest of the limit is for the pages of the program (15 MB) and for what
	// the kernel has received.
	budgetFraction = 0.27
	softFraction   = 0.65
	// minBudgetBytes keeps a share large enough for any legal request.
	minBudgetBytes = 8 << 20
	// reservedDescriptors are those that are reserved for files, and connectionFraction is the part of the
	// others that connections of clients may take. The rest is for those to other processes.
	reservedDescriptors = 200
	connectionFraction  = 0.75
	minConnections      = 64
)

// BudgetBytes returns what connections may hold of a memory limit, or 0 without a limit.
func BudgetBytes(memoryLimit int64) int64 {
	if memoryLimit <= 0 {
		return 0
	}
	return max(minBudgetBytes, int64(budgetFraction*float64(memoryLimit)))
}

// SoftLimit returns the soft limit of the Go runtime for a memory limit.
func SoftLimit(memoryLimit int64) int64 {
	if memoryLimit <= 0 {
		return math.MaxInt64
	}
	return int64(softFraction * float64(memoryLimit))
}

// MaxConnections returns how many connections of clients a process with that many descriptors may have,
// or 0 without a limit.
func MaxConnections(maxDescriptors int64) int {
	if maxDescriptors <= 0 {
		return 0
	}
	return max(minConnections, int(connectionFraction*float64(maxDescriptors-reservedDescriptors)))
}
