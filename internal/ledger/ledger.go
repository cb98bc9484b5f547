// Package ledger tracks the resources that task attempts reserve on a worker.
package ledger

import "github.com/jasminebay/jasminebay/internal/driver"

// Ledger tracks the reservations on one worker; it is not safe for concurrent use.
type Ledger struct {
	capacity     driver.Resources
	reserved     driver.Resources
	reservations map[string]driver.Resources
}

// New returns a Ledger without reservations.
func New(capacity driver.Resources) *Ledger {
	return &Ledger{capacity: capacity, reservations: map[string]driver.Resources{}}
}

// SetCapacity changes the capacity; existing reservations are kept.
func (l *Ledger) SetCapacity(capacity driver.Resources) { l.capacity = capacity }

// Capacity returns the total capacity.
func (l *Ledger) Capacity() driver.Resources { return l.capacity }

// Free returns the unreserved capacity; amounts may be negative after the capacity has shrunk.
func (l *Ledger) Free() driver.Resources { return l.capacity.Minus(l.reserved) }

// Reserve reserves need for holder and reports whether it fits. A holder that already has a
// reservation keeps that one.
func (l *Ledger) Reserve(holder string, need driver.Resources) bool {
	if _, held := l.reservations[holder]; held {
		return true
	}
	if !need.Fits(l.Free()) {
		return false
	}
	l.Restore(holder, need)
	return true
}

// Restore records an existing reservation, whether or not it fits. It replaces the one that
// holder had before, if any.
func (l *Ledger) Restore(holder string, need driver.Resources) {
	if old, held := l.reservations[holder]; held {
		l.reserved = l.reserved.Minus(old)
	}
	l.reservations[holder] = need
	l.reserved = l.reserved.Plus(need)
}

// Release removes the reservation of holder, if it has one.
func (l *Ledger) Release(holder string) {
	need, held := l.reservations[holder]
	if !held {
		return
	}
	delete(l.reservations, holder)
	l.reserved = l.reserved.Minus(need)
}

// Reservations returns the number of reservations.
func (l *Ledger) Reservations() int { return len(l.reservations) }
