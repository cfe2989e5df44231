// Package limit enforces the rate and burst of client accounts over the whole fleet. The Owner, on the
// leader, keeps one token bucket per account and grants tokens to holders. The Holder, in each daemon's
// control loop, adds these token grants to one TokenPool per account, from which traffic goroutines take
// tokens without a lock.
//
// The bound rests on one invariant: the level of a bucket plus the tokens that may still be spent
// anywhere never exceeds the burst. Tokens leave a bucket when they are granted and stay outstanding until
// a report counts them as spent, a report returns them, or the token grant expires; the unreported tokens
// of an expired grant count as spent. A grant expires on the holder 1 s after its request was sent, and on
// the owner 1.2 s after it was issued, so the holder always stops spending first. Reports carry totals per
// grant: a lost, duplicated or reordered message can delay a return, but never return a token twice.
//
// All times must come from one monotonic clock per process (time.Now on the real clock). If the time
// nevertheless steps back, a holder ends all its grants, and the owner stops refilling until the time has
// caught up.
package limit
