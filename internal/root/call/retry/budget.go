package retry

import "sync"

type (
	// Budget is the number of retries that remain for one request and all its nested calls. It is safe for
	// concurrent use.
	Budget struct {
		mu        sync.Mutex
		remaining uint32
		reserved  uint32 // never lent
		lent      bool
		final     bool
	}

	// Loan is the part of a budget that a nested call or a remote attempt may spend.
	Loan struct {
		Retries uint32
		holder  bool // no other loan gets retries until this one is returned
	}
)

// NewBudget returns the budget of a request, or of a call that received a loan, with that many retries.
func NewBudget(retries uint32) *Budget { return &Budget{remaining: retries} }

// NewEntryBudget returns the budget of a request at its first daemon. One of two or more retries is not
// lent, so that an idempotent request survives the loss of the daemon it was sent to, which cannot report its
// unspent retries.
func NewEntryBudget(retries uint32) *Budget {
	b := NewBudget(retries)
	if retries > 1 {
		b.reserved = 1
	}
	return b
}

// Take spends one retry and reports whether there was one that is not lent.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// Lend lends all remaining retries but the reserved one. Until they are returned, every other loan is empty.
func (b *Budget) Lend() Loan {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lent {
		return Loan{}
	}
	reserved := min(b.reserved, b.remaining)
	loan := Loan{Retries: b.remaining - reserved, holder: true}
	b.remaining, b.lent = reserved, true
	return loan
}

// ReturnLoan adds the retries that the response reports as unspent back to the budget. For a lost response,
// unspent is 0.
func (b *Budget) ReturnLoan(loan Loan, unspent uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !loan.holder {
		return
	}
	b.remaining += min(unspent, loan.Retries)
	b.lent = false
}

// Remaining returns the retries that are neither spent nor lent, as reported to the layer above.
func (b *Budget) Remaining() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining
}

// MarkFinal records that a nested call failed after its retries were decided, so that no layer above
// retries the whole call tree below it.
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
