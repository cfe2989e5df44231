package member

import (
	"errors"
	"fmt"
	"slices"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

const (
	// MaxView is the largest number of instances of one service in a view.
	MaxView = 24

	// MaxRegions is the largest number of regions of which a view holds minPerRegion instances; together they take at most
	// half of the view.
	MaxRegions   = 6
	minPerRegion = 2

	// MaxServices is the largest number of services in a Subscription. It is that of a configuration.
	MaxServices = 2000

	maxName     = 64
	maxID       = 2*maxName + 1
	maxStart    = 128
	maxCapacity = 1 << 20

	maxColdSeconds = 600
)

// ErrMessage reports a message with an invalid field.
var ErrMessage = errors.New("invalid member message")

type (
	// Announcement is posted by a backend server to its local daemon.
	Announcement struct {
		Service     string `json:"service"`
		Address     string `json:"address"`
		Slots       uint32 `json:"slots"`
		Connections uint32 `json:"connections"`
		// Start differs for each start of the backend server.
		Start string `json:"start"`
		// ReturnsAttempt is set if the server's responses name the attempt that they belong to.
		ReturnsAttempt bool `json:"returns-attempt"`
		// ColdSeconds is how long the server is still cold, zero for a warm one; it is missing if the server does not report
		// it.
		ColdSeconds *float64 `json:"cold-seconds,omitempty"`
	}

	// Announce goes from a daemon to the leader when an instance is new or has changed.
	Announce struct {
		Instance snap.Endpoint `protobuf:"bytes,1,opt,name=instance"`
		// Seq increases with each Announce and Leave of one start of the daemon, from 1.
		Seq uint64 `protobuf:"varint,2,opt,name=seq"`
	}

	// Leave goes from a daemon to the leader when an instance leaves or its lease ends.
	Leave struct {
		ID  string `protobuf:"bytes,1,opt,name=id"`
		Seq uint64 `protobuf:"varint,2,opt,name=seq"`
	}

	// Heartbeat goes from a daemon to the leader at regular intervals.
	Heartbeat struct {
		Seq uint64 `protobuf:"varint,1,opt,name=seq"`
		// Revision is that of the configuration in effect at the daemon.
		Revision uint64 `protobuf:"varint,2,opt,name=revision"`
	}

	// Lease is the reply to a Heartbeat.
	Lease struct {
		// Seq is that of the heartbeat.
		Seq uint64 `protobuf:"varint,1,opt,name=seq"`
		// Revision is that of the configuration in effect; the control loop fills it in.
		Revision uint64 `protobuf:"varint,2,opt,name=revision"`
	}

	// Subscription lists all services that a daemon calls; the leader sends a full view of each.
	Subscription struct {
		Services []string `protobuf:"bytes,1,rep,name=services"`
		// Regions lists regions of which each view has to hold some instances, because the rules restrict requests to them.
		Regions []string `protobuf:"bytes,2,rep,name=regions"`
	}

	// Change updates a daemon's view of one service.
	Change struct {
		Service string `protobuf:"bytes,1,opt,name=service"`
		// Base is the version of the view to which the change applies; zero replaces the view.
		Base    uint64 `protobuf:"varint,2,opt,name=base"`
		Version uint64 `protobuf:"varint,3,opt,name=version"`
		// Set holds the instances that are new or changed.
		Set []snap.Endpoint `protobuf:"bytes,4,rep,name=set"`
		// Removed holds the ids of instances that left the view.
		Removed []string `protobuf:"bytes,5,rep,name=removed"`
	}
)

// Check returns an error that names the first invalid field.
func (a *Announcement) Check() error {
	switch {
	case a.Service == "" || len(a.Service) > maxName:
		return fmt.Errorf("%w: service of %d bytes, want 1 to %d", ErrMessage, len(a.Service), maxName)
	case a.Address == "" || len(a.Address) > maxName:
		return fmt.Errorf("%w: address of %d bytes, want 1 to %d", ErrMessage, len(a.Address), maxName)
	case a.Slots == 0 || a.Slots > maxCapacity || a.Connections > maxCapacity:
		return fmt.Errorf("%w: %d slots and %d connections, limit %d", ErrMessage, a.Slots, a.Connections, maxCapacity)
	case a.ColdSeconds != nil && !(*a.ColdSeconds >= 0 && *a.ColdSeconds <= maxColdSeconds):
		return fmt.Errorf("%w: cold for %g seconds, want 0 to %d", ErrMessage, *a.ColdSeconds, maxColdSeconds)
	case len(a.Start) > maxStart:
		return fmt.Errorf("%w: start of %d bytes, limit %d", ErrMessage, len(a.Start), maxStart)
	}
	return nil
}

// Check returns an error that names the first invalid field.
func (a *Announce) Check() error {
	if a.Seq == 0 {
		return fmt.Errorf("%w: announce without seq", ErrMessage)
	}
	if err := a.Instance.Check(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	return nil
}

// Check returns an error that names the first invalid field.
func (l *Leave) Check() error {
	if l.Seq == 0 || l.ID == "" || len(l.ID) > maxID {
		return fmt.Errorf("%w: leave with seq %d and id of %d bytes", ErrMessage, l.Seq, len(l.ID))
	}
	return nil
}

// Check returns an error that names the first invalid field.
func (h *Heartbeat) Check() error {
	if h.Seq == 0 {
		return fmt.Errorf("%w: heartbeat without seq", ErrMessage)
	}
	return nil
}

// Check returns an error that names the first invalid field.
func (l *Lease) Check() error {
	if l.Seq == 0 {
		return fmt.Errorf("%w: lease without seq", ErrMessage)
	}
	return nil
}

// Check returns an error that names the first invalid field.
func (s *Subscription) Check() error {
	if len(s.Services) > MaxServices {
		return fmt.Errorf("%w: %d services, limit %d", ErrMessage, len(s.Services), MaxServices)
	}
	if len(s.Regions) > MaxRegions {
		return fmt.Errorf("%w: %d regions, limit %d", ErrMessage, len(s.Regions), MaxRegions)
	}
	for _, region := range s.Regions {
		if region == "" || len(region) > maxName {
			return fmt.Errorf("%w: region of %d bytes, want 1 to %d", ErrMessage, len(region), maxName)
		}
	}
	for _, service := range s.Services {
		if !ValidService(service) {
			return fmt.Errorf("%w: service of %d bytes, want 1 to %d", ErrMessage, len(service), maxName)
		}
	}
	return nil
}

// ValidService reports whether backend servers can announce themselves under the name. A configuration may have others.
func ValidService(name string) bool { return name != "" && len(name) <= maxName }

// Check returns an error that names the first invalid field. It does not check the instances, because one bad
// instance must not keep a daemon from following the others; see DropInvalid.
func (c *Change) Check() error {
	switch {
	case c.Service == "" || len(c.Service) > maxName:
		return fmt.Errorf("%w: service of %d bytes, want 1 to %d", ErrMessage, len(c.Service), maxName)
	case c.Version <= c.Base:
		return fmt.Errorf("%w: version %d is not above base version %d", ErrMessage, c.Version, c.Base)
	case len(c.Set) > MaxView || len(c.Removed) > MaxView:
		return fmt.Errorf("%w: %d set and %d removed instances, limit %d", ErrMessage, len(c.Set), len(c.Removed), MaxView)
	}
	for _, id := range c.Removed {
		if id == "" || len(id) > maxID {
			return fmt.Errorf("%w: id of %d bytes, want 1 to %d", ErrMessage, len(id), maxID)
		}
	}
	return nil
}

// DropInvalid removes the instances with an invalid field from the change and returns the first error, nil if all are
// valid.
func (c *Change) DropInvalid() error {
	var first error
	c.Set = slices.DeleteFunc(c.Set, func(e snap.Endpoint) bool {
		err := e.Check()
		if first == nil && err != nil {
			first = fmt.Errorf("%w: instance %q: %w", ErrMessage, e.ID, err)
		}
		return err != nil
	})
	return first
}
