package wire

import "time"

// Stamp is a wall-clock time in nanoseconds since the Unix epoch; zero means not set.
type Stamp int64

// StampOf returns the stamp of t.
func StampOf(t time.Time) Stamp { return Stamp(t.UnixNano()) }

// Time returns the stamp as a time in UTC.
func (s Stamp) Time() time.Time { return time.Unix(0, int64(s)).UTC() }

// Add returns the stamp s+d.
func (s Stamp) Add(d time.Duration) Stamp { return s + Stamp(d) }

// Sub returns the duration s-earlier.
func (s Stamp) Sub(earlier Stamp) time.Duration { return time.Duration(s - earlier) }
