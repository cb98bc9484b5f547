package document

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Policies lists the names of the routing policies.
var Policies = []string{"two-choices", "least-loaded", "round-robin", "random", "threshold-neighbour"}

// Placements lists the names of the placement policies.
var Placements = []string{"pair-score", "least-loaded", "first-fit"}

// Limits on the fields of a document.
const (
	minTimeout = time.Millisecond
	maxTimeout = 10 * time.Minute
	maxHold    = 10 * time.Minute
	// maxCells is the limit for one data centre, maxListEntries that for each list.
	maxCells       = 64
	maxListEntries = 2000
	maxAttempts    = 100
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Parse decodes and validates a document. The error is a Faults with all faults of the document.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxBytes {
		return nil, Faults{{Path: "$", Message: fmt.Sprintf("%d bytes, at most %d are allowed", len(data), MaxBytes)}}
	}
	d := &Document{}
	faults := Strict(data, d)
	faults = append(faults, excludeBelow(d.Check(), faults)...)
	if len(faults) > 0 {
		return nil, faults
	}
	return d, nil
}

// excludeBelow returns the faults whose path has none of the paths of undecoded as a prefix. A field
// that could not be decoded has its zero value and would be reported as out of range as well.
func excludeBelow(faults, undecoded Faults) (rest Faults) {
	for _, f := range faults {
		if !slices.ContainsFunc(undecoded, func(u Fault) bool { return strings.HasPrefix(f.Path, u.Path) }) {
			rest = append(rest, f)
		}
	}
	return rest
}

// Check returns a fault for every value of d that is out of range, or nil.
func (d *Document) Check() Faults {
	var f Faults
	checkName(&f, "$.environment", d.Environment)
	checkShare(&f, "$.objective.tail-latency", d.Objective.TailLatency)
	checkShare(&f, "$.objective.throughput", d.Objective.Throughput)
	checkShare(&f, "$.objective.evictions", d.Objective.Evictions)
	d.checkGuards(&f)
	if !slices.Contains(Placements, d.Placement.Policy) {
		f.add("$.placement.policy", "%q is not one of %q", d.Placement.Policy, Placements)
	}
	checkList(&f, "$.services", len(d.Services), func(i int) string { return d.Services[i].Name })
	for i := range d.Services {
		d.Services[i].check(&f, fmt.Sprintf("$.services[%d]", i))
	}
	checkList(&f, "$.task-kinds", len(d.TaskKinds), func(i int) string { return d.TaskKinds[i].Name })
	for i := range d.TaskKinds {
		d.TaskKinds[i].check(&f, fmt.Sprintf("$.task-kinds[%d]", i))
	}
	checkList(&f, "$.teams", len(d.Teams), func(i int) string { return d.Teams[i].Name })
	for i, t := range d.Teams {
		checkResources(&f, fmt.Sprintf("$.teams[%d].quota", i), t.Quota)
	}
	checkList(&f, "$.data-centres", len(d.DataCentres), func(i int) string { return d.DataCentres[i].Name })
	for i, c := range d.DataCentres {
		checkInt(&f, fmt.Sprintf("$.data-centres[%d].cells", i), int64(c.Cells), 1, maxCells)
		checkName(&f, fmt.Sprintf("$.data-centres[%d].region", i), c.Region)
	}
	return f
}

func (d *Document) checkGuards(f *Faults) {
	if !d.Guards.Enabled {
		return
	}
	checkFloat(f, "$.guards.throttle-at", d.Guards.ThrottleAt, 0.1, 10)
	checkFloat(f, "$.guards.evict-at", d.Guards.EvictAt, 0.1, 10)
	checkFloat(f, "$.guards.evictions-per-minute", d.Guards.EvictionsPerMinute, 0, 1000)
	checkDuration(f, "$.guards.hold", d.Guards.Hold, 0, maxHold)
	if d.Guards.EvictAt < d.Guards.ThrottleAt {
		f.add("$.guards.evict-at", "%g is below throttle-at %g", d.Guards.EvictAt, d.Guards.ThrottleAt)
	}
}

func (s *Service) check(f *Faults, path string) {
	if len(s.Kinds) == 0 {
		f.add(path+".kinds", "at least one kind is needed")
	}
	checkList(f, path+".kinds", len(s.Kinds), func(i int) string { return s.Kinds[i].Name })
	for i, k := range s.Kinds {
		kindPath := fmt.Sprintf("%s.kinds[%d]", path, i)
		checkUrgency(f, kindPath+".urgency", k.Urgency)
		checkDuration(f, kindPath+".timeout", k.Timeout, minTimeout, maxTimeout)
		checkDuration(f, kindPath+".target", k.Target, minTimeout, k.Timeout.D())
	}
	if !slices.Contains(Policies, s.Routing.Policy) {
		f.add(path+".routing.policy", "%q is not one of %q", s.Routing.Policy, Policies)
	}
	checkFloat(f, path+".routing.spill-at", s.Routing.SpillAt, 0.1, 10)
	checkFloat(f, path+".routing.retry-budget", s.Routing.RetryBudget, 0, 1)
	checkFloat(f, path+".routing.eject-share", s.Routing.EjectShare, 0, 0.5)
}

func (k *TaskKind) check(f *Faults, path string) {
	checkName(f, path+".class", k.Class)
	checkUrgency(f, path+".urgency", k.Urgency)
	checkInt(f, path+".max-attempts", int64(k.MaxAttempts), 1, maxAttempts)
}

// checkList checks the length of a list and the names of its elements, which must be unique.
func checkList(f *Faults, path string, n int, name func(int) string) {
	if n > maxListEntries {
		f.add(path, "%d entries, at most %d are allowed", n, maxListEntries)
	}
	firstIndex := map[string]int{}
	for i := range n {
		namePath := fmt.Sprintf("%s[%d].name", path, i)
		checkName(f, namePath, name(i))
		if j, dup := firstIndex[name(i)]; dup {
			f.add(namePath, "%q is already the name of entry %d", name(i), j)
			continue
		}
		firstIndex[name(i)] = i
	}
}

func checkName(f *Faults, path, name string) {
	if !namePattern.MatchString(name) {
		f.add(path, "%q is not a kebab-case name of 1 to 63 characters", name)
	}
}

func checkUrgency(f *Faults, path string, u Urgency) {
	if u.Rank() < 0 {
		f.add(path, "%q is not one of urgent, ordinary, patient", string(u))
	}
}

func checkShare(f *Faults, path string, v float64) { checkFloat(f, path, v, 0, 1) }

func checkFloat(f *Faults, path string, v, low, high float64) {
	if v < low || v > high {
		f.add(path, "%g is not in %g to %g", v, low, high)
	}
}

func checkInt(f *Faults, path string, v, low, high int64) {
	if v < low || v > high {
		f.add(path, "%d is not in %d to %d", v, low, high)
	}
}

func checkDuration(f *Faults, path string, v Duration, low, high time.Duration) {
	if v.D() < low || v.D() > high {
		f.add(path, "%v is not in %v to %v", v.D(), low, high)
	}
}

func checkResources(f *Faults, path string, r Resources) {
	checkInt(f, path+".milli-cpu", r.MilliCPU, 0, 1<<40)
	checkInt(f, path+".memory-bytes", r.MemoryBytes, 0, 1<<60)
	checkInt(f, path+".accelerators", r.Accelerators, 0, 1<<20)
}
