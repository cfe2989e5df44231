package limit

import (
	"errors"
	"fmt"
	"time"
)

const (
	// MaxRate is the largest rate in tokens per period and the largest burst in tokens; a full bucket with
	// a period of one hour then fits into 64 bits.
	MaxRate = 1_000_000

	// MaxAccount is the longest name of a client account in bytes.
	MaxAccount = 128

	maxReports = 64
	// maxRequestTokens bounds the tokens of one request; it is far above what one holder spends in a second.
	maxRequestTokens = 1 << 20
)

// ErrMessage reports a message with an invalid field.
var ErrMessage = errors.New("invalid token message")

type (
	// Limit is the rate and burst of one client account.
	Limit struct {
		Account string
		// Rate is in tokens per period.
		Rate uint32
		// Per is the period, at most one hour; zero means one second.
		Per time.Duration
		// Burst is in tokens.
		Burst uint32
	}

	// GrantReport reports to the owner how many tokens of a grant are spent in total. If Closed, the rest is
	// returned and no more tokens of the grant will be spent.
	GrantReport struct {
		ID     uint64 `protobuf:"varint,1,opt,name=lot"`
		Spent  uint32 `protobuf:"varint,2,opt,name=spent"`
		Closed bool   `protobuf:"varint,3,opt,name=closed"`
	}

	// TokenRequest goes from a holder to the owner. With neither Waiting nor Prefetch it only reports.
	TokenRequest struct {
		Account string `protobuf:"bytes,1,opt,name=account"`
		// Boot differs for each start of the holder.
		Boot uint64 `protobuf:"fixed64,2,opt,name=boot"`
		// Seq increases with each request of one start of the holder, from 1.
		Seq uint64 `protobuf:"varint,3,opt,name=seq"`
		// Waiting is the number of requests that wait for a token.
		Waiting uint32 `protobuf:"varint,4,opt,name=need"`
		// Prefetch is the number of tokens requested in advance, beyond Waiting.
		Prefetch uint32 `protobuf:"varint,5,opt,name=demand"`
		// Epoch is that of the owner that issued the grants in Reports.
		Epoch   uint64        `protobuf:"varint,6,opt,name=epoch"`
		Reports []GrantReport `protobuf:"bytes,7,rep,name=reports"`
		// TokenWait is how long the requests wait for a token; zero means MaxWait.
		TokenWait time.Duration `protobuf:"varint,8,opt,name=token_wait"`
	}

	// Grant is the reply to a TokenRequest; a parked request gets several replies.
	Grant struct {
		Account string `protobuf:"bytes,1,opt,name=account"`
		// Boot and Seq are those of the request.
		Boot  uint64 `protobuf:"fixed64,2,opt,name=boot"`
		Seq   uint64 `protobuf:"varint,3,opt,name=seq"`
		Epoch uint64 `protobuf:"varint,4,opt,name=epoch"`
		// ID is unique within the epoch; zero if no tokens are granted.
		ID     uint64 `protobuf:"varint,5,opt,name=lot"`
		Tokens uint32 `protobuf:"varint,6,opt,name=tokens"`
		// Parked is the number of waiting requests for which the token request stays parked at the owner.
		Parked uint32 `protobuf:"varint,7,opt,name=parked"`
		// RetryAfter is how long the holder refuses requests without a token locally.
		RetryAfter time.Duration `protobuf:"varint,8,opt,name=retry_after"`
	}

	// Recall requests that a holder returns its unspent tokens.
	Recall struct {
		Account string `protobuf:"bytes,1,opt,name=account"`
		Epoch   uint64 `protobuf:"varint,2,opt,name=epoch"`
	}
)

// Check returns an error that names the first invalid field.
func (l *Limit) Check() error {
	if err := checkAccount(l.Account); err != nil {
		return err
	}
	if l.Rate == 0 || l.Rate > MaxRate || l.Burst == 0 || l.Burst > MaxRate {
		return fmt.Errorf("%w: rate %d and burst %d, want 1 to %d", ErrMessage, l.Rate, l.Burst, MaxRate)
	}
	if l.Per < 0 || l.Per > time.Hour {
		return fmt.Errorf("%w: period %v, want up to %v", ErrMessage, l.Per, time.Hour)
	}
	return nil
}

// periodNanos returns the period in nanoseconds.
func (l *Limit) periodNanos() int64 {
	if l.Per == 0 {
		return int64(time.Second)
	}
	return int64(l.Per)
}

// Check returns an error that names the first invalid field.
func (t *TokenRequest) Check() error {
	switch {
	case t.Boot == 0 || t.Seq == 0:
		return fmt.Errorf("%w: token request without boot or seq", ErrMessage)
	case t.Waiting > maxRequestTokens || t.Prefetch > maxRequestTokens:
		return fmt.Errorf("%w: %d waiting and %d prefetched tokens requested, limit %d", ErrMessage, t.Waiting, t.Prefetch, maxRequestTokens)
	case t.TokenWait < 0 || t.TokenWait > MaxWait:
		return fmt.Errorf("%w: requests wait %v for a token, limit %v", ErrMessage, t.TokenWait, MaxWait)
	case len(t.Reports) > maxReports:
		return fmt.Errorf("%w: %d grant reports, limit %d", ErrMessage, len(t.Reports), maxReports)
	}
	for _, r := range t.Reports {
		if r.ID == 0 {
			return fmt.Errorf("%w: report without grant id", ErrMessage)
		}
	}
	return checkAccount(t.Account)
}

// Check returns an error that names the first invalid field.
func (g *Grant) Check() error {
	switch {
	case g.Boot == 0 || g.Seq == 0 || g.Epoch == 0:
		return fmt.Errorf("%w: grant without boot, seq or epoch", ErrMessage)
	case (g.ID == 0) != (g.Tokens == 0):
		return fmt.Errorf("%w: grant id %d with %d tokens", ErrMessage, g.ID, g.Tokens)
	case g.Tokens > 2*maxRequestTokens:
		return fmt.Errorf("%w: %d tokens, limit %d", ErrMessage, g.Tokens, 2*maxRequestTokens)
	case g.RetryAfter < 0 || g.RetryAfter > maxRetryAfter:
		return fmt.Errorf("%w: retry after %v, limit %v", ErrMessage, g.RetryAfter, maxRetryAfter)
	}
	return checkAccount(g.Account)
}

// Check returns an error that names the first invalid field.
func (r *Recall) Check() error {
	if r.Epoch == 0 {
		return fmt.Errorf("%w: recall without epoch", ErrMessage)
	}
	return checkAccount(r.Account)
}

func checkAccount(name string) error {
	if name == "" || len(name) > MaxAccount {
		return fmt.Errorf("%w: account of %d bytes, want 1 to %d", ErrMessage, len(name), MaxAccount)
	}
	return nil
}
