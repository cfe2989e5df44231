package snap

import "github.com/buckthornpitch/buckthornpitch/pkg/wire"

// Evacuation is the order of an operator that the backend servers of an availability zone get no requests.
type Evacuation struct {
	Zone      string     `protobuf:"bytes,1,opt,name=zone"`
	Requester string     `protobuf:"bytes,2,opt,name=requester"`
	Reason    string     `protobuf:"bytes,3,opt,name=reason"`
	Since     wire.Stamp `protobuf:"varint,4,opt,name=since"`
}
