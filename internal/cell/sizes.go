package cell

import (
	"fmt"

	"github.com/jasminebay/jasminebay/internal/driver"
)

const (
	// sizeDecay is how fast the learned sizes fall back, per report.
	sizeDecay = 0.001
	sizeMax   = 4.0
)

func attemptKey(task string, attempt uint32) string { return fmt.Sprintf("%s#%d", task, attempt) }

// sizes learns by how much the tasks of a class exceed what they declare: the largest
// excess seen, which decays.
type sizes struct {
	cpu    map[string]float64
	memory map[string]float64
}

func newSizes() *sizes {
	return &sizes{cpu: map[string]float64{}, memory: map[string]float64{}}
}

func (s *sizes) observe(class string, reserved, used driver.Resources) {
	update(s.cpu, class, reserved.MilliCPU(), used.MilliCPU())
	update(s.memory, class, reserved.MemoryBytes(), used.MemoryBytes())
}

func update(factors map[string]float64, class string, reserved, used int64) {
	if reserved <= 0 || used <= 0 {
		return
	}
	old := max(factors[class], 1)
	ratio := min(float64(used)/float64(reserved), sizeMax)
	if ratio <= 1 {
		factors[class] = old - sizeDecay*(old-1)
		return
	}
	factors[class] = min(max(old, ratio), sizeMax)
}

// need returns what a task of a class is expected to use, at least what it declares.
func (s *sizes) need(class string, declared driver.Resources) driver.Resources {
	return driver.NewResources(
		int64(float64(declared.MilliCPU())*max(s.cpu[class], 1)),
		int64(float64(declared.MemoryBytes())*max(s.memory[class], 1)),
		declared.Accelerators(),
	)
}
