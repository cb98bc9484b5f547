package cell

import (
	"container/list"
)

// urgencies is the number of urgency ranks.
const urgencies = 3

// queue holds the ids of waiting tasks by urgency and team, each team's in first-come,
// first-served order.
type queue struct {
	levels [urgencies]map[string]*list.List
	size   int
}

func newQueue() *queue {
	q := &queue{}
	for i := range q.levels {
		q.levels[i] = map[string]*list.List{}
	}
	return q
}

// push adds a task. With front set it goes ahead of the team's other tasks, as retries and resumed
// tasks do.
func (q *queue) push(urgency int32, team, task string, front bool) {
	level := q.levels[min(max(int(urgency), 0), urgencies-1)]
	if level[team] == nil {
		level[team] = list.New()
	}
	if front {
		level[team].PushFront(task)
	} else {
		level[team].PushBack(task)
	}
	q.size++
}

func (q *queue) remove(l *list.List, e *list.Element) {
	l.Remove(e)
	q.size--
}
