package cross

// Causes of bytes between availability zones. Home is the zero value: the bytes stay in the zone, or are not counted.
const (
	Home       Cause = iota
	NoRoom           // no server of the service in the zone has room or may be used
	Choice           // a server of another zone was cheaper
	Retry            // an attempt after the first
	NestedCall       // the first attempt of a call of a backend server
	Control          // messages with and among control instances
	KeepAlive        // handshakes, pings, and the frame headers of the sessions
	causes
)

// causeBits is the number of low bits of a request number that hold its cause.
const causeBits = 3

type (
	// Cause is the reason why bytes go to another availability zone and back.
	Cause uint8

	// Placement is what is known about a request when its server has been chosen.
	Placement struct {
		Home       bool // the server is in the availability zone of the chooser
		RoomAtHome bool // a server of the zone that the request may be sent to has room
		Again      bool // not the first attempt
		Nested     bool // the call arrived from a backend server
	}
)

// Cause returns the cause of the bytes of one attempt.
func (p Placement) Cause() Cause {
	switch {
	case p.Home:
		return Home
	case p.Again:
		return Retry
	case p.Nested:
		return NestedCall
	case !p.RoomAtHome:
		return NoRoom
	}
	return Choice
}

// Causes returns all causes that bytes are counted by.
func Causes() []Cause {
	return []Cause{NoRoom, Choice, Retry, NestedCall, Control, KeepAlive}
}

// String returns the name of the cause in metrics and logs.
func (c Cause) String() string {
	switch c {
	case Home:
		return "home"
	case NoRoom:
		return "no-room"
	case Choice:
		return "choice"
	case Retry:
		return "retry"
	case NestedCall:
		return "nested-call"
	case Control:
		return "control"
	case KeepAlive:
		return "keep-alive"
	}
	return "unknown"
}

// Number returns a request number that carries the cause, so that a response which arrives after its request was
// abandoned is counted by it as well.
func Number(count uint64, c Cause) uint64 { return count<<causeBits | uint64(c) }

// CauseOf returns the cause that a request number carries.
func CauseOf(number uint64) Cause { return Cause(number & (1<<causeBits - 1)) }
