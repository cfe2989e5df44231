package relay

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

const (
	// requestOverhead and fieldOverhead are about the bytes that a request, and each of its header fields, take in memory
	// beside the text.
	requestOverhead = 4 << 10
	fieldOverhead   = 160

	// ordinaryRequest is the cost in bytes up to which the only request of a connection is never refused.
	ordinaryRequest = 16 << 10
)

// errRequestBudget reports a request with so many fields that the requests in progress leave no room for it.
var errRequestBudget = errors.New("the requests in progress leave no room for this one")

// incoming is a request of a caller whose head has been read.
type incoming struct {
	parsed          *http.Request
	request         Request // its body follows
	invalid         error   // why it cannot be decoded, nil for a valid request
	expectsContinue bool
	headerSize      int64 // of the request line and the header, in bytes
	cost            int64 // about the bytes that it takes while it is in progress, beside a counted body
}

// newIncoming decodes a request whose header has the given size in bytes.
func newIncoming(parsed *http.Request, header int64, dialect Dialect) *incoming {
	in := &incoming{
		parsed: parsed, headerSize: header, cost: requestCost(parsed, header),
		expectsContinue: strings.EqualFold(parsed.Header.Get("Expect"), "100-continue"),
	}
	in.request, in.invalid = dialect.DecodeRequest(parsed)
	return in
}

// claim says for whom a body of the request is held.
func (c *callerConn) claim(r *Request) budget.Claim {
	return budget.Claim{Account: c.accountOf(r.APIKey), Address: c.address, Urgent: c.urgent(r)}
}

// slotClaim says for whom the request is counted while it is in progress. An ordinary one needs no reserve.
func (c *callerConn) slotClaim(in *incoming) budget.Claim {
	return budget.Claim{Address: c.address, Urgent: in.cost > ordinaryRequest && c.urgent(&in.request)}
}

// urgent reports whether the request is of rank 0 and its client may use the route.
func (c *callerConn) urgent(r *Request) bool {
	set := c.frontend.Forwarder.Control.Snapshot().Rules
	if set == nil {
		return false
	}
	route, ok := set.MatchHost(r.Host, r.Path)
	if !ok {
		return false
	}
	state := forwardState{route: route, rank: route.Rank}
	return state.authenticate(set, r.APIKey) == nil && state.rank == 0
}

// requestCost returns about the number of bytes that a request whose header has the given size takes while it is in
// progress, without its body.
func requestCost(r *http.Request, header int64) int64 {
	return requestOverhead + header + int64(field.Count(r.Header))*fieldOverhead
}

// refusalRetryAfter returns the advised delay before a request that was refused for a lack of room is sent again, and
// zero for a request that would be refused again.
func refusalRetryAfter(failure retry.Failure) time.Duration {
	if _, overload := failure.(retry.Overload); overload {
		return noServerRetryAfter
	}
	return 0
}

// newSlot returns a slot for a request that takes about cost bytes, or nil while there is no room; c.mu is held. An
// ordinary request always has room if it was not sent ahead.
func (c *callerConn) newSlot(claim budget.Claim, cost int64) *responseSlot {
	switch {
	case len(c.pipeline) >= maxPipelined:
		return nil
	case c.frontend.Requests.Take(claim, cost):
		return &responseSlot{claim: claim, cost: cost}
	case len(c.pipeline) == 0 && cost <= ordinaryRequest:
		return &responseSlot{}
	}
	return nil
}
