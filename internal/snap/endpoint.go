package snap

import (
	"errors"
	"fmt"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	maxName     = 64
	maxAddress  = 64
	maxCapacity = 1 << 20
)

// ErrEndpoint reports an endpoint with an invalid field.
var ErrEndpoint = errors.New("invalid endpoint")

// Endpoint is one registered backend server instance; it is never modified after it was published.
type Endpoint struct {
	// ID is the same for every start of a backend server at one address beside one daemon.
	ID      string `protobuf:"bytes,1,opt,name=id"`
	Service string `protobuf:"bytes,2,opt,name=service"`
	// Daemon is the peer address of the daemon beside the backend server.
	Daemon string `protobuf:"bytes,3,opt,name=daemon"`
	// Address is where that daemon reaches the backend server.
	Address     string `protobuf:"bytes,4,opt,name=address"`
	Zone        string `protobuf:"bytes,5,opt,name=zone"`
	Slots       uint32 `protobuf:"varint,6,opt,name=slots"`
	Connections uint32 `protobuf:"varint,7,opt,name=connections"`
	// Incarnation differs for each start of the backend server and between all instances.
	Incarnation uint64 `protobuf:"fixed64,8,opt,name=incarnation"`
	// Leaving is true from the moment the backend server announced that it stops.
	Leaving bool `protobuf:"varint,9,opt,name=leaving"`
	// Started is when this incarnation was first announced, by the clock of its daemon.
	Started wire.Stamp `protobuf:"varint,10,opt,name=started"`
}

// Check returns an error that names the first invalid field.
func (e *Endpoint) Check() error {
	switch {
	case e.ID == "" || len(e.ID) > 2*maxAddress+1:
		return fmt.Errorf("%w: id of %d bytes", ErrEndpoint, len(e.ID))
	case e.Service == "" || len(e.Service) > maxName:
		return fmt.Errorf("%w: service of %d bytes", ErrEndpoint, len(e.Service))
	case e.Daemon == "" || len(e.Daemon) > maxAddress:
		return fmt.Errorf("%w: daemon of %d bytes", ErrEndpoint, len(e.Daemon))
	case e.Address == "" || len(e.Address) > maxAddress:
		return fmt.Errorf("%w: address of %d bytes", ErrEndpoint, len(e.Address))
	case len(e.Zone) > maxName:
		return fmt.Errorf("%w: zone of %d bytes", ErrEndpoint, len(e.Zone))
	case e.Slots == 0 || e.Slots > maxCapacity:
		return fmt.Errorf("%w: %d slots, want 1 to %d", ErrEndpoint, e.Slots, maxCapacity)
	case e.Connections > maxCapacity:
		return fmt.Errorf("%w: %d connections, want at most %d", ErrEndpoint, e.Connections, maxCapacity)
	case e.Incarnation == 0:
		return fmt.Errorf("%w: no incarnation", ErrEndpoint)
	}
	return nil
}
