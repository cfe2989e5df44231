package limit

import "time"

const (
	// HolderLifetime is how long a holder spends from a grant, measured from the sending of its request.
	HolderLifetime = time.Second
	// OwnerLifetime is how long the owner counts a grant as outstanding, measured from its issue. The 200 ms
	// more than HolderLifetime allow for clocks that run at different speeds.
	OwnerLifetime = 1200 * time.Millisecond
	// MaxWait is the longest time that a request waits for a token before it is refused.
	MaxWait = time.Second

	maxRetryAfter = time.Second
)

type (
	// OwnerEvent is an input of the owner: TokensRequested, HolderGone, SetLimits or Wake.
	OwnerEvent interface{ ownerEvent() }

	// OwnerAction is an output of the owner: SendGrant or SendRecall.
	OwnerAction interface{ ownerAction() }

	// HolderEvent is an input of the holder: AwaitToken, Cancel, Grant, Recall, SetLimits, Connected or Wake.
	HolderEvent interface{ holderEvent() }

	// HolderAction is an output of the holder: SendRequest, Admit or Refuse.
	HolderAction interface{ holderAction() }

	// TokensRequested delivers a token request from a holder, which is named by its peer address.
	TokensRequested struct {
		Holder  string
		Request *TokenRequest
	}

	// HolderGone drops the parked requests of a holder whose control stream ended.
	HolderGone struct{ Holder string }

	// SetLimits replaces the limits of all accounts; the limit of an account that is not listed is withdrawn.
	SetLimits struct{ Limits []Limit }

	// Wake reports that the time returned by Deadline has come.
	Wake struct{}

	// AwaitToken reports that a request found no token and waits; Waiter is unique among waiting requests.
	AwaitToken struct {
		Account string
		Waiter  uint64
	}

	// Cancel reports that a waiting request was canceled.
	Cancel struct {
		Account string
		Waiter  uint64
	}

	// Connected reports that a new control stream to the leader is open. Token requests and reports sent on
	// the earlier stream may be lost.
	Connected struct{}

	// SendGrant sends a grant to a holder.
	SendGrant struct {
		Holder string
		Grant  *Grant
	}

	// SendRecall sends a recall to a holder.
	SendRecall struct {
		Holder string
		Recall *Recall
	}

	// SendRequest sends a token request to the leader.
	SendRequest struct{ Request *TokenRequest }

	// Admit reports that the waiting request has received a token.
	Admit struct{ Waiter uint64 }

	// Refuse reports that the waiting request gets no token.
	Refuse struct {
		Waiter     uint64
		RetryAfter time.Duration
	}
)

func (*TokensRequested) ownerEvent() {}
func (*HolderGone) ownerEvent()      {}
func (*SetLimits) ownerEvent()       {}
func (*Wake) ownerEvent()            {}

func (*SendGrant) ownerAction()  {}
func (*SendRecall) ownerAction() {}

func (*AwaitToken) holderEvent() {}
func (*Cancel) holderEvent()     {}
func (*Grant) holderEvent()      {}
func (*Recall) holderEvent()     {}
func (*SetLimits) holderEvent()  {}
func (*Connected) holderEvent()  {}
func (*Wake) holderEvent()       {}

func (*SendRequest) holderAction() {}
func (*Admit) holderAction()       {}
func (*Refuse) holderAction()      {}
