package cell

import (
	"github.com/jasminebay/jasminebay/internal/driver"
)

// quota returns what a team's running tasks may reserve, if the document limits it.
func (o *Owner) quota(team string) (driver.Resources, bool) {
	d := o.options.Document()
	if d == nil || d.Team(team) == nil {
		return driver.Resources{}, false
	}
	q := d.Team(team).Quota
	return driver.NewResources(q.MilliCPU, q.MemoryBytes, q.Accelerators), true
}

func (o *Owner) teamUse(team string) driver.Resources {
	use := o.c.use[team]
	if o.options.ReservedElsewhere != nil {
		use = use.Plus(o.options.ReservedElsewhere(team))
	}
	return use
}

func (o *Owner) withinQuota(group []*entry) bool {
	team := group[0].job.GetTeam()
	quota, limited := o.quota(team)
	if !limited {
		return true
	}
	use := o.teamUse(team)
	for _, g := range group {
		use = use.Plus(resources(g.task.GetResources()))
	}
	return use.Fits(quota)
}

func total(group []*entry) (sum driver.Resources) {
	for _, g := range group {
		sum = sum.Plus(resources(g.task.GetResources()))
	}
	return sum
}

// share returns the largest share of its quota that a team uses.
func (o *Owner) share(team string) float64 {
	quota, limited := o.quota(team)
	use := o.teamUse(team)
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
