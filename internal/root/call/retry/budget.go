package retry

import "sync"

type (
	// Budget is the number of retries that remain for one request and all its nested calls.
	Budget struct {
		mu    sync.Mutex
		left  uint32
		kept  uint32 // never lent
		lent  bool
		final bool
	}

	// Loan is the part of a budget that a nested call or a remote attempt may spend.
	Loan struct {
		Retries uint32
		owner   bool // this loan has to be settled before another one gets retries
	}
)

// NewBudget returns the budget of a request, or of a call that received a loan, with that many retries.
func NewBudget(retries uint32) *Budget { return &Budget{left: retries} }

// NewEntryBudget returns the budget of a request at its first daemon. One of two or more retries is not
// lent, so that an idempotent request survives the loss of the daemon it was sent to, whose unspent
// retries are not known.
func NewEntryBudget(retries uint32) *Budget {
	b := NewBudget(retries)
	if retries > 1 {
		b.kept = 1
	}
	return b
}

// Take spends one retry and reports whether there was one that is not lent.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// Lend hands out all remaining retries but those kept; while they are lent, every other loan is empty.
func (b *Budget) Lend() Loan {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lent {
		return Loan{}
	}
	kept := min(b.kept, b.left)
	loan := Loan{Retries: b.left - kept, owner: true}
	b.left, b.lent = kept, true
	return loan
}

// Settle takes back the retries that the response reports as unspent; a lost response reports none.
func (b *Budget) ReturnLoan(loan Loan, unspent uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !loan.owner {
		return
	}
	b.left += min(unspent, loan.Retries)
	b.lent = false
}

// Left returns the retries that are neither spent nor lent, as reported to the layer above.
func (b *Budget) Remaining() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// MarkFinal records that a nested call failed after its retries were decided, so that no layer above
// sends the whole tree below it again.
func (b *Budget) MarkFinal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.final = true
}

// Final reports whether a failure of this call must not be retried by the layers above.
func (b *Budget) Final() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.final
}
