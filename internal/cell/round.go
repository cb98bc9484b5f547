package cell

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
)

// round is one pass over the queue.
type round struct {
	owner  *Owner
	now    time.Time
	seats  []driver.Seat
	placed int
	// largest is the largest amount of each thing that a worker of the cell has.
	largest driver.Resources
	// shares caches what teams use of their quotas.
	shares map[string]float64
	// yielders are the workers that yield to tasks or may.
	yielders yielders
	// failed lists needs for which there was no seat.
	failed []driver.Resources
}

// level places the tasks of one urgency: again and again the team that uses the smallest
// share of its quota goes first.
func (r *round) level(teams map[string]*list.List) {
	open := make([]string, 0, len(teams))
	for team, l := range teams {
		if l.Len() > 0 {
			open = append(open, team)
		} else {
			delete(teams, team)
		}
	}
	slices.Sort(open)
	for len(open) > 0 && r.placed < placementsPerRound {
		next := 0
		for i := range open {
			if r.share(open[i]) < r.share(open[next]) {
				next = i
			}
		}
		if !r.team(teams[open[next]]) {
			open = slices.Delete(open, next, next+1)
		}
	}
}

func (r *round) share(team string) float64 {
	s, known := r.shares[team]
	if !known {
		s = r.owner.share(team)
		r.shares[team] = s
	}
	return s
}

// team places the first task of a team that fits and reports whether there was one.
func (r *round) team(l *list.List) bool {
	looked := 0
	for e := l.Front(); e != nil && looked < lookahead; {
		next := e.Next()
		task := r.owner.c.state.tasks[e.Value.(string)]
		if task == nil || task.task.GetPhase() != cellpb.Phase_PHASE_WAITING {
			r.owner.c.queue.remove(l, e)
			e = next
			continue
		}
		looked++
		if r.try(l, e, task) {
			return true
		}
		e = next
	}
	return false
}

func (r *round) try(l *list.List, e *list.Element, task *entry) bool {
	group := []*entry{task}
	if task.job.GetGang() {
		group = waiting(task.job, r.owner.c.state)
	}
	if detail := r.infeasible(group); detail != "" {
		r.owner.refuse(group, detail)
		return false
	}
	if !r.owner.withinQuota(group) {
		return false
	}
	choices := r.choose(group)
	if choices == nil {
		r.makeRoom(task)
		return false
	}
	r.owner.c.queue.remove(l, e)
	for i, g := range group {
		r.commit(g, choices[i])
	}
	return true
}

// makeRoom has workers yield or patient tasks go for the sake of a task that found no seat.
func (r *round) makeRoom(task *entry) {
	r.owner.options.Metrics.Placements.WithLabelValues("no-room").Inc()
	need := r.needOf(task.task)
	if r.blocked() {
		r.owner.yieldFor(need, r.yielders, r.now)
	}
	if task.job.GetUrgency() == urgentRank && !task.job.GetGang() {
		r.owner.preempt(task.task.GetId(), need, r.now)
	}
}

// waiting lists the tasks of a gang that wait; the others run already.
func waiting(job *cellpb.Job, s *State) (group []*entry) {
	for _, t := range job.GetTasks() {
		if t.GetPhase() == cellpb.Phase_PHASE_WAITING {
			group = append(group, s.tasks[t.GetId()])
		}
	}
	return group
}

// choice is a seat for a task and what it reserves there.
type choice struct {
	seat int
	need driver.Resources
}

// choose finds a seat for each task of a group, or returns nil and leaves the seats as
// they were.
func (r *round) choose(group []*entry) []choice {
	var choices []choice
	for _, g := range group {
		need := r.needOf(g.task)
		seat := -1
		if !r.hopeless(need) {
			r.prepare(g)
			seat = r.owner.options.Placer.Place(need, r.seats)
		}
		if seat < 0 {
			if len(choices) == 0 && !r.blocked() {
				r.failed = append(r.failed, need)
			}
			for _, c := range choices {
				r.seats[c.seat].Free = r.seats[c.seat].Free.Plus(c.need)
			}
			return nil
		}
		r.seats[seat].Free = r.seats[seat].Free.Minus(need)
		choices = append(choices, choice{seat, need})
	}
	return choices
}

// blocked reports whether a seat was passed over for the sake of services, which says
// nothing of tasks of other classes.
func (r *round) blocked() bool {
	return slices.ContainsFunc(r.seats, func(s driver.Seat) bool { return s.Blocked })
}

// hopeless reports whether a smaller need has found no seat in this round.
func (r *round) hopeless(need driver.Resources) bool {
	for _, f := range r.failed {
		if f.Fits(need) {
			return true
		}
	}
	return false
}

// prepare fills in what the seats mean for one task.
func (r *round) prepare(g *entry) {
	racks := map[string]int{}
	for _, t := range g.job.GetTasks() {
		if t.GetPhase() != cellpb.Phase_PHASE_RUNNING {
			continue
		}
		if w := r.owner.c.workers[t.GetWorker()]; w != nil {
			racks[w.Rack]++
		}
	}
	cores := float64(resources(g.task.GetResources()).MilliCPU()) / 1000
	harm := r.owner.c.model.Bound(g.task.GetClass(), r.owner.caution()) * cores
	yield := r.yielders.room(r.needOf(g.task))
	for i := range r.seats {
		r.seats[i].SameJob = racks[r.seats[i].Rack]
		r.seats[i].Harm, r.seats[i].Blocked = 0, false
		if r.seats[i].Serves {
			r.consider(&r.seats[i], harm, yield)
		}
	}
}

// consider fills in what a task of the given harm means for the services of a seat's worker;
// yield tells that the task finds room on a worker that yields.
func (r *round) consider(s *driver.Seat, harm float64, yield bool) {
	w := r.owner.c.workers[s.Worker]
	switch {
	case w.yielding:
		// Until the entries know, tasks would meet the requests that still come.
		s.Blocked = harm >= harmMin && (w.reclaiming || !w.yielded)
	case yield:
		// Where workers can yield, the others take tasks only as long as they stay calm.
		s.Harm, s.Blocked = harm+w.pressure(), r.owner.blocks(w, harm, calmShare)
	case len(w.assigned) > 0:
		s.Harm, s.Blocked = harm+w.pressure(), r.owner.blocks(w, harm, 1)
	default:
		// A worker without tasks may always take one where no worker can yield, so that
		// patient work goes on where services are slow by themselves.
		s.Harm = harm + w.pressure()
	}
}

// needOf returns what a task reserves: what it declares, or more if tasks of its class
// have used more, as long as that fits the largest worker.
func (r *round) needOf(t *cellpb.Task) driver.Resources {
	declared := resources(t.GetResources())
	learned := r.owner.c.sizes.need(t.GetClass(), declared)
	if learned.Fits(r.largest) {
		return learned
	}
	return declared
}

// infeasible explains why a group can never run, or returns "".
func (r *round) infeasible(group []*entry) string {
	o := r.owner
	if len(o.c.workers) == 0 || r.now.Sub(o.c.taken) < settleAfterTake {
		return ""
	}
	largest := r.largest
	if o.options.LargestWorkerElsewhere != nil {
		largest = largest.Max(o.options.LargestWorkerElsewhere())
	}
	for _, g := range group {
		if n := resources(g.task.GetResources()); !n.Fits(largest) {
			return fmt.Sprintf("needs %s, but the largest worker has %s", n, largest)
		}
	}
	if quota, limited := o.quota(group[0].job.GetTeam()); limited && !total(group).Fits(quota) {
		return fmt.Sprintf("needs %s, but the quota of team %s is %s", total(group), group[0].job.GetTeam(), quota)
	}
	return ""
}

func (o *Owner) refuse(group []*entry, detail string) {
	for _, g := range group {
		if o.record(refusedRecord(g.task.GetId(), detail, time.Now()), nil) {
			o.options.Metrics.Placements.WithLabelValues("infeasible").Inc()
			o.log.Info("task can never run", "task", g.task.GetId(), "job", g.job.GetId(), "reason", detail)
		}
	}
}
