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
	// parentRequest is a request that runs in the local backend server. Its nested calls inherit its
	// identity, deadline, retries and allowed regions.
	parentRequest struct {
		ctx        context.Context // ends with the request
		id         string
		account    string
		importance admit.Importance
		deadline   time.Time
		budget     *retry.Budget
		chain      []string
		regions    []string // in which nested calls may be handled, empty for all

		overloaded atomic.Bool // a nested call was refused for overload

		mu          sync.Mutex
		nested      int       // nested calls in progress
		nestedSince time.Time // since when nested has been above zero
		nestedTime  time.Duration
	}

	// parentRequests is the set of running requests, by call token.
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

func (p *parentRequests) add(request *parentRequest) (token string) {
	token = newToken()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byToken == nil {
		p.byToken = make(map[string]*parentRequest)
	}
	p.byToken[token] = request
	return token
}

func (p *parentRequests) remove(token string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byToken, token)
}

func (p *parentRequests) find(token string) (*parentRequest, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	request, ok := p.byToken[token]
	return request, ok
}

func (p *parentRequest) beginNested(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nested == 0 {
		p.nestedSince = now
	}
	p.nested++
}

func (p *parentRequest) endNested(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nested--
	if p.nested == 0 {
		p.nestedTime += now.Sub(p.nestedSince)
	}
}

// selfTime returns the part of elapsed that was not spent waiting for nested calls.
func (p *parentRequest) selfTime(now time.Time, elapsed time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	nested := p.nestedTime
	if p.nested > 0 {
		nested += now.Sub(p.nestedSince)
	}
	return max(elapsed-nested, 0)
}
