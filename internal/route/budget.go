package route

import "sync"

// budgetBurst is how many retries may be saved up.
const budgetBurst = 20

// budget bounds retries to a share of the requests; it is safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

// deposit adds a request's share.
func (b *budget) deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, budgetBurst)
}

// withdraw takes one retry, if there is one.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
