package snap

import (
	"errors"
	"fmt"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	maxNameBytes    = 64
	maxAddressBytes = 64
	maxCapacity     = 1 << 20
)

// ErrEndpoint reports an endpoint with an invalid field.
var ErrEndpoint = errors.New("invalid endpoint")

// Endpoint is one registered backend server instance; it is not modified after it has been published.
type Endpoint struct {
	// ID identifies a backend server by its address and its daemon; it stays the same over restarts.
	ID      string `protobuf:"bytes,1,opt,name=id"`
	Service string `protobuf:"bytes,2,opt,name=service"`
	// Daemon is the peer address of the daemon whose local backend server this is.
	Daemon string `protobuf:"bytes,3,opt,name=daemon"`
	// Address is the address at which that daemon connects to the backend server.
	Address     string `protobuf:"bytes,4,opt,name=address"`
	Zone        string `protobuf:"bytes,5,opt,name=zone"`
	Slots       uint32 `protobuf:"varint,6,opt,name=slots"`
	Connections uint32 `protobuf:"varint,7,opt,name=connections"`
	// Incarnation is unique to one start of one backend server instance.
	Incarnation uint64 `protobuf:"fixed64,8,opt,name=incarnation"`
	// Leaving is true once the backend server has announced that it stops.
	Leaving bool `protobuf:"varint,9,opt,name=leaving"`
	// Started is the time of the first announcement of this incarnation, by the clock of its daemon.
	Started wire.Stamp `protobuf:"varint,10,opt,name=started"`
	// Region is the region of the daemon, empty if that daemon does not report it.
	Region string `protobuf:"bytes,11,opt,name=region"`
}

// Check returns an error that names the first invalid field.
func (e *Endpoint) Check() error {
	switch {
	case e.ID == "" || len(e.ID) > 2*maxAddressBytes+1:
		return fmt.Errorf("%w: id has %d bytes", ErrEndpoint, len(e.ID))
	case e.Service == "" || len(e.Service) > maxNameBytes:
		return fmt.Errorf("%w: service has %d bytes", ErrEndpoint, len(e.Service))
	case e.Daemon == "" || len(e.Daemon) > maxAddressBytes:
		return fmt.Errorf("%w: daemon has %d bytes", ErrEndpoint, len(e.Daemon))
	case e.Address == "" || len(e.Address) > maxAddressBytes:
		return fmt.Errorf("%w: address has %d bytes", ErrEndpoint, len(e.Address))
	case len(e.Zone) > maxNameBytes:
		return fmt.Errorf("%w: zone has %d bytes", ErrEndpoint, len(e.Zone))
	case len(e.Region) > maxNameBytes:
		return fmt.Errorf("%w: region has %d bytes", ErrEndpoint, len(e.Region))
	case e.Slots == 0 || e.Slots > maxCapacity:
		return fmt.Errorf("%w: %d slots, want 1 to %d", ErrEndpoint, e.Slots, maxCapacity)
	case e.Connections > maxCapacity:
		return fmt.Errorf("%w: %d connections, want at most %d", ErrEndpoint, e.Connections, maxCapacity)
	case e.Incarnation == 0:
		return fmt.Errorf("%w: incarnation is 0", ErrEndpoint)
	}
	return nil
}
