// Package ledger keeps account of what a worker's task attempts reserve.
package ledger

import "github.com/jasminebay/jasminebay/internal/driver"

// Ledger tells what is free on one worker; it is not safe for concurrent use.
type Ledger struct {
	capacity driver.Resources
	reserved driver.Resources
	holders  map[string]driver.Resources
}

// New returns a Ledger over capacity.
func New(capacity driver.Resources) *Ledger {
	return &Ledger{capacity: capacity, holders: map[string]driver.Resources{}}
}

// SetCapacity changes the capacity; what is reserved stays reserved.
func (l *Ledger) SetCapacity(capacity driver.Resources) { l.capacity = capacity }

// Capacity returns the whole capacity.
func (l *Ledger) Capacity() driver.Resources { return l.capacity }

// Free returns what is not reserved; an amount is negative after a loss of capacity.
func (l *Ledger) Free() driver.Resources { return l.capacity.Minus(l.reserved) }

// Reserve takes need for holder and reports whether it fits. A holder that has a
// reservation keeps it.
func (l *Ledger) Reserve(holder string, need driver.Resources) bool {
	if _, held := l.holders[holder]; held {
		return true
	}
	if !need.Fits(l.Free()) {
		return false
	}
	l.Restore(holder, need)
	return true
}

// Restore records a reservation that exists already, whether or not it fits.
func (l *Ledger) Restore(holder string, need driver.Resources) {
	if old, held := l.holders[holder]; held {
		l.reserved = l.reserved.Minus(old)
	}
	l.holders[holder] = need
	l.reserved = l.reserved.Plus(need)
}

// Release gives back what holder has reserved, if anything.
func (l *Ledger) Release(holder string) {
	need, held := l.holders[holder]
	if !held {
		return
	}
	delete(l.holders, holder)
	l.reserved = l.reserved.Minus(need)
}

// Reservations returns the number of reservations.
func (l *Ledger) Reservations() int { return len(l.holders) }
