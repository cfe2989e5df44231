package relay

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
)

// Guards against frames between zones that are not counted, or by another cause.
func TestBytesBetweenZonesAreCounted(t *testing.T) {
	const size = 50_000
	zones := []string{"a", "b"}
	f := newTestFleet(t, 2, func(o *Options) { o.Zone, zones = zones[0], zones[1:] })
	f.control.mu.Lock()
	f.control.list = f.control.list[1:] // no server at home
	f.control.list[0].Zone = "b"
	f.control.version++
	f.control.mu.Unlock()
	body := strings.Repeat("x", size)
	assert.Assert(t, strings.HasSuffix(bodyOf(t, f.request(f.daemons[0], "r", "/keyed/x", "Key: rich-key\r\n", body)), body))
	bytes := f.daemons[0].relay.PeerStreams.Dialer.Bytes
	for _, direction := range []cross.Direction{cross.Sent, cross.Received} {
		for bytes.Count(cross.NoRoom, direction) == 0 { // counted after the response has been delivered
			time.Sleep(time.Millisecond)
		}
		count := bytes.Count(cross.NoRoom, direction)
		assert.Assert(t, count >= size && count < size+1000, "%d bytes", count)
		assert.Assert(t, bytes.Count(cross.KeepAlive, direction) > 0)
	}
}
