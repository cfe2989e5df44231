package limit

import "time"

const (
	// HolderLife is how long a holder spends from a lot, measured from sending the ask.
	HolderLife = time.Second
	// OwnerLife is how long the owner counts a lot as outstanding, measured from granting; the 200 ms
	// above HolderLife cover clocks that run at different speeds.
	OwnerLife = 1200 * time.Millisecond
	// MaxWait is how long a request waits for a token before it is refused.
	MaxWait = time.Second

	maxRetryAfter = time.Second
)

type (
	// OwnerEvent is an input of the owner: Asked, HolderGone, SetLimits or Wake.
	OwnerEvent interface{ ownerEvent() }

	// OwnerAction is an output of the owner: SendGrant or SendRecall.
	OwnerAction interface{ ownerAction() }

	// HolderEvent is an input of the holder: Need, Cancel, Grant, Recall, SetLimits, Connected or Wake.
	HolderEvent interface{ holderEvent() }

	// HolderAction is an output of the holder: SendAsk, Admit or Refuse.
	HolderAction interface{ holderAction() }

	// Asked delivers an ask from a holder, which is named by its peer address.
	TokensRequested struct {
		Holder  string
		Request *TokenRequest
	}

	// HolderGone drops the parked asks of a holder whose control stream ended.
	HolderGone struct{ Holder string }

	// SetLimits replaces the limits of all accounts; an account that is missing is withdrawn.
	SetLimits struct{ Limits []Limit }

	// Wake is due at the time that Deadline returned.
	Wake struct{}

	// Need says that a request found no token and waits; Waiter is unique among waiting requests.
	AwaitToken struct {
		Account string
		Waiter  uint64
	}

	// Cancel says that a waiting request gave up.
	Cancel struct {
		Account string
		Waiter  uint64
	}

	// Connected says that a new control stream to the leader is up; asks sent before are lost.
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

	// SendAsk sends an ask to the leader.
	SendRequest struct{ Request *TokenRequest }

	// Admit says that the waiting request has received a token.
	Admit struct{ Waiter uint64 }

	// Refuse says that the waiting request gets no token.
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
