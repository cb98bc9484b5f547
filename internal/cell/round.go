package cell

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
)

// round is one placement round: a single pass over the queue.
type round struct {
	owner      *Owner
	now        time.Time
	candidates []driver.Candidate
	placed     int
	// largest is, for each kind of resource, the largest capacity of any worker in the cell.
	largest driver.Resources
	// quotaShares caches the result of Owner.quotaShare for each team.
	quotaShares map[string]float64
	// yieldTargets lists the workers that yield or may yield.
	yieldTargets yieldTargets
	// unplaceable lists the reservations for which no candidate was found in this round.
	unplaceable []driver.Resources
}

// placeLevel places the waiting tasks of one urgency. Each step serves the team that uses the
// smallest share of its quota.
func (r *round) placeLevel(teams map[string]*list.List) {
	waitingTeams := make([]string, 0, len(teams))
	for team, l := range teams {
		if l.Len() > 0 {
			waitingTeams = append(waitingTeams, team)
		} else {
			delete(teams, team)
		}
	}
	slices.Sort(waitingTeams)
	for len(waitingTeams) > 0 && r.placed < placementsPerRound {
		next := 0
		for i := range waitingTeams {
			if r.quotaShare(waitingTeams[i]) < r.quotaShare(waitingTeams[next]) {
				next = i
			}
		}
		if !r.placeFromTeam(teams[waitingTeams[next]]) {
			waitingTeams = slices.Delete(waitingTeams, next, next+1)
		}
	}
}

func (r *round) quotaShare(team string) float64 {
	s, known := r.quotaShares[team]
	if !known {
		s = r.owner.quotaShare(team)
		r.quotaShares[team] = s
	}
	return s
}

// placeFromTeam places the first task of a team that fits, within the lookahead, and reports
// whether it found one.
func (r *round) placeFromTeam(l *list.List) bool {
	tried := 0
	for e := l.Front(); e != nil && tried < lookahead; {
		next := e.Next()
		jt := r.owner.control.state.tasks[e.Value.(string)]
		if jt == nil || jt.task.GetPhase() != cellpb.Phase_PHASE_WAITING {
			r.owner.control.queue.remove(l, e)
			e = next
			continue
		}
		tried++
		if r.tryPlace(l, e, jt) {
			return true
		}
		e = next
	}
	return false
}

func (r *round) tryPlace(l *list.List, e *list.Element, jt *jobTask) bool {
	group := []*jobTask{jt}
	if jt.job.GetGang() {
		group = waitingTasks(jt.job, r.owner.control.state)
	}
	if detail := r.infeasibleReason(group); detail != "" {
		r.owner.rejectInfeasible(group, detail)
		return false
	}
	if !r.owner.withinQuota(group) {
		return false
	}
	placements := r.findPlacements(group)
	if placements == nil {
		r.makeRoom(jt)
		return false
	}
	r.owner.control.queue.remove(l, e)
	for i, member := range group {
		r.assign(member, placements[i])
	}
	return true
}

// makeRoom handles a task for which no candidate was found: it may make a worker yield, and for an
// urgent task that is not in a gang it evicts patient tasks.
func (r *round) makeRoom(jt *jobTask) {
	r.owner.options.Metrics.Placements.WithLabelValues("no-room").Inc()
	need := r.reservationFor(jt.task)
	if r.anyBlocked() {
		r.owner.yieldWorkerFor(need, r.yieldTargets, r.now)
	}
	if jt.job.GetUrgency() == urgentRank && !jt.job.GetGang() {
		r.owner.preempt(jt.task.GetId(), need, r.now)
	}
}

// waitingTasks returns the waiting tasks of a gang; its other tasks may already be running.
func waitingTasks(job *cellpb.Job, s *State) (group []*jobTask) {
	for _, t := range job.GetTasks() {
		if t.GetPhase() == cellpb.Phase_PHASE_WAITING {
			group = append(group, s.tasks[t.GetId()])
		}
	}
	return group
}

// placement is the candidate chosen for a task and what the task reserves there.
type placement struct {
	candidate int
	need      driver.Resources
}

// findPlacements chooses a candidate for each task of a group. If one of them finds none, it
// returns nil and leaves the free resources of the candidates unchanged.
func (r *round) findPlacements(group []*jobTask) []placement {
	var placements []placement
	for _, member := range group {
		need := r.reservationFor(member.task)
		candidate := -1
		if !r.knownUnplaceable(need) {
			r.assessCandidates(member)
			candidate = r.owner.options.Placer.Place(need, r.candidates)
		}
		if candidate < 0 {
			if len(placements) == 0 && !r.anyBlocked() {
				r.unplaceable = append(r.unplaceable, need)
			}
			for _, p := range placements {
				r.candidates[p.candidate].Free = r.candidates[p.candidate].Free.Plus(p.need)
			}
			return nil
		}
		r.candidates[candidate].Free = r.candidates[candidate].Free.Minus(need)
		placements = append(placements, placement{candidate, need})
	}
	return placements
}

// anyBlocked reports whether a candidate was ruled out to protect its services. That depends on
// the class of the task, so the same reservation may still be placeable for other classes.
func (r *round) anyBlocked() bool {
	return slices.ContainsFunc(r.candidates, func(c driver.Candidate) bool { return c.Blocked })
}

// knownUnplaceable reports whether a reservation that is no larger has already found no candidate
// in this round.
func (r *round) knownUnplaceable(need driver.Resources) bool {
	for _, smaller := range r.unplaceable {
		if smaller.Fits(need) {
			return true
		}
	}
	return false
}

// assessCandidates sets the fields of all candidates that depend on the task to be placed.
func (r *round) assessCandidates(jt *jobTask) {
	racks := map[string]int{}
	for _, t := range jt.job.GetTasks() {
		if t.GetPhase() != cellpb.Phase_PHASE_RUNNING {
			continue
		}
		if w := r.owner.control.workers[t.GetWorker()]; w != nil {
			racks[w.Rack]++
		}
	}
	cores := float64(resourcesOf(jt.task.GetResources()).MilliCPU()) / 1000
	interference := r.owner.control.model.UpperBound(jt.task.GetClass(), r.owner.caution()) * cores
	yieldingRoom := r.yieldTargets.canHost(r.reservationFor(jt.task))
	for i := range r.candidates {
		r.candidates[i].SameJobInRack = racks[r.candidates[i].Rack]
		r.candidates[i].Interference, r.candidates[i].Blocked = 0, false
		if r.candidates[i].LatencyCritical {
			r.assessInterference(&r.candidates[i], interference, yieldingRoom)
		}
	}
}

// assessInterference sets what a task with the given interference means for the services on a
// candidate's worker. yieldingRoom is set if a yielding worker can host the task, now or later.
func (r *round) assessInterference(c *driver.Candidate, interference float64, yieldingRoom bool) {
	w := r.owner.control.workers[c.Worker]
	switch {
	case w.yielding:
		// Until the entries know that the worker yields, they still send requests there, which the
		// task would slow down.
		c.Blocked = interference >= interferenceMin && (w.reclaiming || !w.yieldAnnounced)
	case yieldingRoom:
		// While workers can yield, the others accept tasks only if their pressure stays low.
		c.Interference, c.Blocked = interference+w.pressure(), r.owner.wouldOverload(w, interference, lowPressureShare)
	case len(w.assigned) > 0:
		c.Interference, c.Blocked = interference+w.pressure(), r.owner.wouldOverload(w, interference, 1)
	default:
		// If no worker can yield, a worker without tasks accepts one whatever the pressure. Otherwise
		// patient tasks would starve where services miss their targets without any tasks beside them.
		c.Interference = interference + w.pressure()
	}
}

// reservationFor returns what a task reserves: its declared resources, or more if tasks of its
// class have exceeded theirs, provided that the larger amount fits the largest worker.
func (r *round) reservationFor(t *cellpb.Task) driver.Resources {
	declared := resourcesOf(t.GetResources())
	expected := r.owner.control.overuse.expectedUse(t.GetClass(), declared)
	if expected.Fits(r.largest) {
		return expected
	}
	return declared
}

// infeasibleReason returns why a group can never run, or "" if it can.
func (r *round) infeasibleReason(group []*jobTask) string {
	o := r.owner
	if len(o.control.workers) == 0 || r.now.Sub(o.control.takenAt) < infeasibleDelay {
		return ""
	}
	largest := r.largest
	if o.options.LargestWorkerElsewhere != nil {
		largest = largest.Max(o.options.LargestWorkerElsewhere())
	}
	for _, member := range group {
		if n := resourcesOf(member.task.GetResources()); !n.Fits(largest) {
			return fmt.Sprintf("needs %s, but the largest worker has %s", n, largest)
		}
	}
	if quota, limited := o.quota(group[0].job.GetTeam()); limited && !totalResources(group).Fits(quota) {
		return fmt.Sprintf("needs %s, but the quota of team %s is %s", totalResources(group), group[0].job.GetTeam(), quota)
	}
	return ""
}

func (o *Owner) rejectInfeasible(group []*jobTask, detail string) {
	for _, member := range group {
		if o.record(refusedRecord(member.task.GetId(), detail, time.Now()), nil) {
			o.options.Metrics.Placements.WithLabelValues("infeasible").Inc()
			o.log.Info("task can never run", "task", member.task.GetId(), "job", member.job.GetId(), "reason", detail)
		}
	}
}
