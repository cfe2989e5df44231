package reach

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

// Guards against a daemon that serves its server in a zone under evacuation, or before it knows the list.
func TestZoneFailure(t *testing.T) {
	evacuated := map[string]snap.Evacuation{"b": {Zone: "b"}}
	assert.Equal(t, ZoneFailure(&snap.Snapshot{Evacuated: evacuated}, "b"), retry.Failure(retry.Evacuated{}))
	assert.Equal(t, ZoneFailure(&snap.Snapshot{Evacuated: evacuated}, "a"), nil)
	assert.Equal(t, ZoneFailure(&snap.Snapshot{}, "b"), nil)
	assert.Equal(t, ZoneFailure(&snap.Snapshot{EvacuationsUnknown: true}, "a"), retry.Failure(retry.Unreached{}))
}

// Guards against a refusal that names an evacuation although a server could take the request, or that does not name it
// although it is the only cause.
func TestExcludeAll(t *testing.T) {
	policy := For(map[string]snap.Evacuation{"b": {Zone: "b"}}, []string{"eu"})
	left := snap.Endpoint{Zone: "b", Region: "eu"}
	foreign := snap.Endpoint{Zone: "a", Region: "us"}
	free := snap.Endpoint{Zone: "a", Region: "eu"}
	assert.Equal(t, policy.ExcludeAll(nil), nil)
	assert.Equal(t, policy.ExcludeAll([]snap.Endpoint{left, free}), nil)
	assert.Equal(t, policy.ExcludeAll([]snap.Endpoint{foreign, left, foreign}), Exclusion(EvacuatedZone{Zone: "b"}))
	assert.Equal(t, policy.ExcludeAll([]snap.Endpoint{foreign}), Exclusion(ForeignRegion{Region: "us"}))
}
