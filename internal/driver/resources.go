package driver

import (
	"fmt"

	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Resources is an amount of each kind of resource of a worker.
type Resources struct {
	milliCPU     int64
	memoryBytes  int64
	accelerators int64
}

// NewResources returns Resources of the given thousandths of a processor, bytes and whole
// accelerators.
func NewResources(milliCPU, memoryBytes, accelerators int64) Resources {
	return Resources{milliCPU: milliCPU, memoryBytes: memoryBytes, accelerators: accelerators}
}

// MilliCPU returns the processors in thousandths.
func (r Resources) MilliCPU() int64 { return r.milliCPU }

// MemoryBytes returns the memory in bytes.
func (r Resources) MemoryBytes() int64 { return r.memoryBytes }

// Accelerators returns the number of accelerators.
func (r Resources) Accelerators() int64 { return r.accelerators }

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.milliCPU + o.milliCPU, r.memoryBytes + o.memoryBytes, r.accelerators + o.accelerators}
}

// Minus returns the difference of r and o; amounts may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.milliCPU - o.milliCPU, r.memoryBytes - o.memoryBytes, r.accelerators - o.accelerators}
}

// Fits reports whether no amount of r exceeds that of o.
func (r Resources) Fits(o Resources) bool {
	return r.milliCPU <= o.milliCPU && r.memoryBytes <= o.memoryBytes && r.accelerators <= o.accelerators
}

// Max returns the maximum of r and o for each amount.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.milliCPU, o.milliCPU), max(r.memoryBytes, o.memoryBytes), max(r.accelerators, o.accelerators)}
}

// String returns the amounts for logs.
func (r Resources) String() string {
	return fmt.Sprintf("cpu=%dm memory=%d accelerators=%d", r.milliCPU, r.memoryBytes, r.accelerators)
}

// ResourcesFromProto converts a protobuf message; nil gives no resources.
func ResourcesFromProto(r *peerpb.Resources) Resources {
	return Resources{r.GetMilliCpu(), r.GetMemoryBytes(), r.GetAccelerators()}
}

// Proto converts r to a protobuf message.
func (r Resources) Proto() *peerpb.Resources {
	return &peerpb.Resources{MilliCpu: r.milliCPU, MemoryBytes: r.memoryBytes, Accelerators: r.accelerators}
}
