package limit

import "time"

// Cell holds the tokens of one account in this daemon; Take and RetryAfter are safe for all goroutines.
type Cell struct{}

// Take spends one token and reports whether there was one. After false the caller sends Need to the
// control loop unless RetryAfter says otherwise.
func (c *Cell) Take(now time.Time) bool { return false }

// RetryAfter returns how long to refuse requests without asking; zero means that asking is allowed.
func (c *Cell) RetryAfter(now time.Time) time.Duration { return 0 }
