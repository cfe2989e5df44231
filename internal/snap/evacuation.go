package snap

import (
	"errors"
	"fmt"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// ErrEvacuation reports an evacuation without a valid zone.
var ErrEvacuation = errors.New("invalid evacuation")

// Evacuation is the order of an operator that the backend servers of an availability zone get no requests.
type Evacuation struct {
	Zone      string     `protobuf:"bytes,1,opt,name=zone"`
	Requester string     `protobuf:"bytes,2,opt,name=requester"`
	Reason    string     `protobuf:"bytes,3,opt,name=reason"`
	Since     wire.Stamp `protobuf:"varint,4,opt,name=since"`
}

// Check returns an error for a missing or overlong zone.
func (e *Evacuation) Check() error {
	if e.Zone == "" || len(e.Zone) > maxNameBytes {
		return fmt.Errorf("%w: zone of %d bytes, want 1 to %d", ErrEvacuation, len(e.Zone), maxNameBytes)
	}
	return nil
}
