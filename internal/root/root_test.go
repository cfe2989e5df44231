package root

import (
	"fmt"
	"net"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/config"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/disk"
)

// Guards against addresses and a data folder that stay in use after a start that has failed, so that the next start
// in the same process fails too.
func TestFailedStartReleasesResources(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = taken.Close() }()
	address := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = listener.Close() }()
		return listener.Addr().String()
	}
	ingress, peer, folder := address(), address(), filepath.Join(t.TempDir(), "data")
	text := fmt.Sprintf(`name = "one"
availability-zone = "a"
region = "test"
ingress-address = %q
local-address = %q
peer-address = %q
admin-address = %q
data-folder = %q
rules-file = %q
secret = "fleet-test-secret"

[control-addresses]
one = %q
`, ingress, address(), peer, taken.Addr(), folder, filepath.Join(folder, "rules"), peer)
	settings, err := config.Parse("test", []byte(text), nil)
	assert.NilError(t, err)
	_, err = New(settings, clock.Real{}, zerolog.Nop())
	assert.ErrorContains(t, err, "admin-address")
	listener, err := net.Listen("tcp", ingress)
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())

	// NewFleet opens the data folder before it binds an address.
	var opened resources
	storage, err := opened.dataFolder(folder)
	assert.NilError(t, err)
	assert.Assert(t, storage != nil)
	opened.close()
	storage, err = disk.Open(folder, disk.Options{})
	assert.NilError(t, err)
	assert.NilError(t, storage.Close())
}
