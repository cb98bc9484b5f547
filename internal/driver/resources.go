package driver

import (
	"fmt"

	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Resources is an amount of each thing that a worker holds.
type Resources struct {
	milliCPU     int64
	memory       int64
	accelerators int64
}

// NewResources returns amounts in thousandths of a processor, bytes and whole accelerators.
func NewResources(milliCPU, memoryBytes, accelerators int64) Resources {
	return Resources{milliCPU: milliCPU, memory: memoryBytes, accelerators: accelerators}
}

// MilliCPU returns thousandths of a processor.
func (r Resources) MilliCPU() int64 { return r.milliCPU }

// MemoryBytes returns bytes of memory.
func (r Resources) MemoryBytes() int64 { return r.memory }

// Accelerators returns whole accelerators.
func (r Resources) Accelerators() int64 { return r.accelerators }

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.milliCPU + o.milliCPU, r.memory + o.memory, r.accelerators + o.accelerators}
}

// Minus returns r less o; amounts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.milliCPU - o.milliCPU, r.memory - o.memory, r.accelerators - o.accelerators}
}

// Fits reports whether each amount of r is at most that of o.
func (r Resources) Fits(o Resources) bool {
	return r.milliCPU <= o.milliCPU && r.memory <= o.memory && r.accelerators <= o.accelerators
}

// Max returns the larger of each amount of r and o.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.milliCPU, o.milliCPU), max(r.memory, o.memory), max(r.accelerators, o.accelerators)}
}

// String returns the amounts for logs.
func (r Resources) String() string {
	return fmt.Sprintf("cpu=%dm memory=%d accelerators=%d", r.milliCPU, r.memory, r.accelerators)
}

// ResourcesFromProto returns the amounts of a message; nil gives none.
func ResourcesFromProto(r *peerpb.Resources) Resources {
	return Resources{r.GetMilliCpu(), r.GetMemoryBytes(), r.GetAccelerators()}
}

// Proto returns the amounts as they travel between processes.
func (r Resources) Proto() *peerpb.Resources {
	return &peerpb.Resources{MilliCpu: r.milliCPU, MemoryBytes: r.memory, Accelerators: r.accelerators}
}
