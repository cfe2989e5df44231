package call

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

const callTokenSize = 16 // bytes; 128 bits cannot be guessed while the request runs

type (
	// outerCall is a request that runs in the backend server beside this daemon; its nested calls take
	// their identity, deadline and retries from it.
	parentRequest struct {
		ctx        context.Context // ends with the outer request
		id         string
		account    string
		importance admit.Importance
		deadline   time.Time
		budget     *retry.Budget
		chain      []string

		overloaded atomic.Bool // a nested call was refused for overload

		mu          sync.Mutex
		nested      int       // nested calls in progress
		nestedSince time.Time // start of the present nested calls
		nestedTime  time.Duration
	}

	// outerCalls finds running requests by their call token.
	parentRequests struct {
		mu      sync.RWMutex
		byToken map[string]*parentRequest
	}
)

func newToken() string {
	var raw [callTokenSize]byte
	_, _ = rand.Read(raw[:]) // never fails on supported systems
	return hex.EncodeToString(raw[:])
}

func (o *parentRequests) add(c *parentRequest) (token string) {
	token = newToken()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byToken == nil {
		o.byToken = make(map[string]*parentRequest)
	}
	o.byToken[token] = c
	return token
}

func (o *parentRequests) remove(token string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byToken, token)
}

func (o *parentRequests) find(token string) (*parentRequest, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	c, ok := o.byToken[token]
	return c, ok
}

func (c *parentRequest) beginNested(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nested == 0 {
		c.nestedSince = now
	}
	c.nested++
}

func (c *parentRequest) endNested(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nested--
	if c.nested == 0 {
		c.nestedTime += now.Sub(c.nestedSince)
	}
}

// ownTime returns the part of elapsed that was not spent waiting for nested calls.
func (c *parentRequest) selfTime(now time.Time, elapsed time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	nested := c.nestedTime
	if c.nested > 0 {
		nested += now.Sub(c.nestedSince)
	}
	return max(elapsed-nested, 0)
}
