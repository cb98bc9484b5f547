package cell

import (
	"github.com/jasminebay/jasminebay/internal/driver"
)

// quota returns the limit on what a team's running tasks reserve, and whether the document sets
// one.
func (o *Owner) quota(team string) (driver.Resources, bool) {
	d := o.options.Document()
	if d == nil || d.Team(team) == nil {
		return driver.Resources{}, false
	}
	q := d.Team(team).Quota
	return driver.NewResources(q.MilliCPU, q.MemoryBytes, q.Accelerators), true
}

func (o *Owner) teamReserved(team string) driver.Resources {
	use := o.control.reservedByTeam[team]
	if o.options.ReservedElsewhere != nil {
		use = use.Plus(o.options.ReservedElsewhere(team))
	}
	return use
}

func (o *Owner) withinQuota(group []*jobTask) bool {
	team := group[0].job.GetTeam()
	quota, limited := o.quota(team)
	if !limited {
		return true
	}
	use := o.teamReserved(team)
	for _, jt := range group {
		use = use.Plus(resourcesOf(jt.task.GetResources()))
	}
	return use.Fits(quota)
}

func totalResources(group []*jobTask) (sum driver.Resources) {
	for _, jt := range group {
		sum = sum.Plus(resourcesOf(jt.task.GetResources()))
	}
	return sum
}

// quotaShare returns the largest fraction of its quota that a team uses of any resource. For a
// team without a quota it returns the reserved milli-CPU, which ranks it behind teams within their
// quotas.
func (o *Owner) quotaShare(team string) float64 {
	quota, limited := o.quota(team)
	use := o.teamReserved(team)
	if !limited {
		return float64(use.MilliCPU())
	}
	return max(
		ratio(use.MilliCPU(), quota.MilliCPU()),
		ratio(use.MemoryBytes(), quota.MemoryBytes()),
		ratio(use.Accelerators(), quota.Accelerators()),
	)
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
