package intake

import (
	"context"
	"errors"
)

// ErrFull is the error of a request for which there is no memory. The request was not run.
var ErrFull = errors.New("intake: no memory for the request")

// Account counts the bytes that one request holds.
type Account interface {
	// Reserve counts bytes, waits shortly for those that others give back, and fails with ErrFull.
	Reserve(bytes int64) error
	// Release returns bytes that were reserved.
	Release(bytes int64)
}

type accountKey struct{}

// WithAccount returns a context that carries an account.
func WithAccount(ctx context.Context, a Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// AccountOf returns the account of a context, which counts nothing if it has none.
func AccountOf(ctx context.Context) Account {
	if a, ok := ctx.Value(accountKey{}).(Account); ok {
		return a
	}
	return uncounted{}
}

type uncounted struct{}

func (uncounted) Reserve(int64) error { return nil }
func (uncounted) Release(int64)       {}
