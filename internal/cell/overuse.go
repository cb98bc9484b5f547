package cell

import (
	"fmt"

	"github.com/jasminebay/jasminebay/internal/driver"
)

const (
	// overuseDecay is the fraction by which a learned excess shrinks with each report that shows
	// none.
	overuseDecay = 0.001
	overuseMax   = 4.0
)

func attemptKey(task string, attempt uint32) string { return fmt.Sprintf("%s#%d", task, attempt) }

// overuse tracks, for each class, the largest observed ratio of used to reserved resources. The
// ratio decays towards 1.
type overuse struct {
	cpu    map[string]float64
	memory map[string]float64
}

func newOveruse() *overuse {
	return &overuse{cpu: map[string]float64{}, memory: map[string]float64{}}
}

func (u *overuse) observe(class string, reserved, used driver.Resources) {
	updateFactor(u.cpu, class, reserved.MilliCPU(), used.MilliCPU())
	updateFactor(u.memory, class, reserved.MemoryBytes(), used.MemoryBytes())
}

func updateFactor(factors map[string]float64, class string, reserved, used int64) {
	if reserved <= 0 || used <= 0 {
		return
	}
	previous := max(factors[class], 1)
	ratio := min(float64(used)/float64(reserved), overuseMax)
	if ratio <= 1 {
		factors[class] = previous - overuseDecay*(previous-1)
		return
	}
	factors[class] = min(max(previous, ratio), overuseMax)
}

// expectedUse returns the resources that a task of a class is expected to use, which is at least
// what it declares.
func (u *overuse) expectedUse(class string, declared driver.Resources) driver.Resources {
	return driver.NewResources(
		int64(float64(declared.MilliCPU())*max(u.cpu[class], 1)),
		int64(float64(declared.MemoryBytes())*max(u.memory[class], 1)),
		declared.Accelerators(),
	)
}
