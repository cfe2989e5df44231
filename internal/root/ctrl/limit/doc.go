// Package limit enforces the rate and burst of client accounts over the whole fleet. The Owner, on the
// leader, debits one token bucket per account and grants lots of tokens to holders; the Holder, in each
// daemon's control loop, puts lots into one Cell per account, from which traffic goroutines take tokens
// without a lock.
//
// The bound rests on one invariant: the level of a bucket plus the tokens that may still be spent
// somewhere never exceeds the burst. Tokens leave a bucket when they are granted and stay outstanding
// until a report says that they are spent, a report returns them, or the lot has expired; tokens of an
// expired lot count as spent. A lot ends on the holder 1 s after its ask was sent and on the owner 1.2 s
// after it was granted, so the holder always stops first. Reports carry totals per lot, so that lost,
// repeated and reordered messages can only delay a return, never repeat it.
//
// All times must come from one monotonic clock per process (time.Now on the real clock). A time that
// steps back nevertheless ends every lot on a holder and stops refilling on the owner until it catches up.
package limit
