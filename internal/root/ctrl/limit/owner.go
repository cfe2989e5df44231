package limit

import "time"

// Owner holds the buckets of all accounts on the leader; the control loop owns it.
type Owner struct{}

// NewOwner returns an owner whose buckets are empty and stay so until its predecessor's grants have
// expired. The epoch must be higher than that of every earlier owner (the consensus term).
func NewOwner(now time.Time, epoch uint64, limits []Limit) *Owner { return &Owner{} }

// Step applies one event and returns the messages to send.
func (o *Owner) Step(now time.Time, ev OwnerEvent) []OwnerAction { return nil }

// Deadline returns when the next Wake is due; false means that none is.
func (o *Owner) Deadline() (time.Time, bool) { return time.Time{}, false }
