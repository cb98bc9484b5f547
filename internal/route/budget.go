package route

import "sync"

// maxSavedRetries bounds the unused retries that the budget accumulates.
const maxSavedRetries = 20

// retryBudget is a token bucket that limits retries to a share of the requests; it is safe for
// concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// deposit adds the share of a retry that each request earns.
func (b *retryBudget) deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, maxSavedRetries)
}

// withdraw takes one retry from the budget and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
