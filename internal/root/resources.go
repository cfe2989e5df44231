package root

import (
	"fmt"
	"io"
	"net"
	"net/netip"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/disk"
)

// resources are the listeners and the data folder that a daemon has opened while it is being built.
type resources struct{ opened []io.Closer }

// bind opens a TCP listener for the setting called name.
func (r *resources) bind(name string, address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("bind %s: %w", name, err)
	}
	r.opened = append(r.opened, listener)
	return listener, nil
}

// dataFolder opens the data folder at path. It returns no storage if path is empty.
func (r *resources) dataFolder(path string) (disk.Storage, error) {
	if path == "" {
		return nil, nil
	}
	storage, err := disk.Open(path, disk.Options{})
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	r.opened = append(r.opened, storage)
	return storage, nil
}

// close closes everything, after a start that has failed.
func (r *resources) close() {
	for _, resource := range r.opened {
		_ = resource.Close()
	}
}
