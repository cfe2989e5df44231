package snap

type (
	// UnixNano is a time as nanoseconds since the Unix epoch.
	UnixNano int64

	// Endpoint is one instance of a service as traffic sees it.
	Endpoint struct {
		ID          string   `protobuf:"bytes,1,opt,name=id"`
		Service     string   `protobuf:"bytes,2,opt,name=service"`
		Daemon      string   `protobuf:"bytes,3,opt,name=daemon"`  // peer address of the daemon beside the backend server
		Address     string   `protobuf:"bytes,4,opt,name=address"` // address of the backend server
		Zone        string   `protobuf:"bytes,5,opt,name=zone"`
		Slots       uint32   `protobuf:"varint,6,opt,name=slots"`
		Connections uint32   `protobuf:"varint,7,opt,name=connections"`
		Incarnation uint64   `protobuf:"varint,8,opt,name=incarnation"` // changes with every start of the backend server
		Leaving     bool     `protobuf:"varint,9,opt,name=leaving"`     // gets no new requests
		Started     UnixNano `protobuf:"varint,10,opt,name=started"`    // start of this incarnation
	}
)
