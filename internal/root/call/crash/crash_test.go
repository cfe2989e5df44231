package crash

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// Guards against different requests with the same fingerprint, and against daemons of another version that compute
// another fingerprint for the same request.
func TestFingerprint(t *testing.T) {
	body := make([]byte, PrefixSize+1)
	base := Fingerprint("GET", "/works/1?page=2", "pocket", -1, body)
	assert.Equal(t, base, "c85fafbad1190f23e37a1a5d9dd40138")
	assert.Equal(t, base, Fingerprint("GET", "/works/1?page=2", "pocket", -1, append(body[:PrefixSize:PrefixSize], 9)))
	seen := map[string]bool{base: true}
	for _, other := range []string{
		Fingerprint("POST", "/works/1?page=2", "pocket", -1, body),
		Fingerprint("GET", "/works/1?page=3", "pocket", -1, body),
		Fingerprint("GET", "/works/1?page=", "2pocket", -1, body),
		Fingerprint("GET", "/works/1?page=2", "pocket", 3, body),
		Fingerprint("GET", "/works/1?page=2", "pocket", -1, body[:5]),
	} {
		assert.Assert(t, !seen[other])
		seen[other] = true
	}
}

// Guards against a quarantine after fewer than three crashes, after crashes of one incarnation or after
// crashes too far apart, and against a missing quarantine.
func TestQuarantineAfterThreeIncarnations(t *testing.T) {
	for _, tc := range []struct {
		name    string
		reports [][2]int // minute, incarnation
		want    bool
	}{
		{"two crashes", [][2]int{{0, 1}, {1, 2}}, false},
		{"one incarnation", [][2]int{{0, 1}, {1, 1}, {2, 1}, {3, 1}}, false},
		{"too far apart", [][2]int{{0, 1}, {6, 2}, {12, 3}}, false},
		{"three in ten minutes", [][2]int{{0, 1}, {6, 2}, {9, 3}}, true},
		{"after an old one", [][2]int{{0, 1}, {11, 2}, {15, 3}, {20, 4}}, true},
	} {
		collector := NewCollector()
		got := false
		for _, r := range tc.reports {
			now := start.Add(time.Duration(r[0]) * time.Minute)
			q, ok := collector.Report(now, "f", uint64(r[1]))
			if got = ok; ok {
				assert.Equal(t, int64(q.Until), now.Add(10*time.Minute).UnixNano())
			}
		}
		assert.Equal(t, got, tc.want, tc.name)
	}
}

// Guards against a quarantine of harmless requests that were in flight together with one that crashes backend
// servers.
func TestSuspectIsClearedByCompletion(t *testing.T) {
	suspects, collector := NewSuspects(), NewCollector()
	crash := func(incarnation uint64) {
		suspects.Begin(incarnation, "innocent")
		suspects.Begin(incarnation, "innocent")
		suspects.Begin(incarnation, "culprit")
		suspects.Begin(incarnation, "done")
		assert.Assert(t, !suspects.End(start, incarnation, "done", true))
		assert.Equal(t, len(suspects.Died(start, incarnation)), 2)
		collector.Report(start, "innocent", incarnation)
		assert.Assert(t, !suspects.End(start, incarnation, "innocent", true), "a response of the dead incarnation clears nothing")
	}
	crash(1)
	pause, ok := suspects.ResendAfter(start, "culprit")
	assert.Assert(t, ok && pause == resendPause)
	suspects.Begin(2, "innocent")
	assert.Assert(t, !suspects.End(start, 2, "innocent", false), "an incomplete response clears nothing")
	suspects.Begin(2, "innocent")
	assert.Assert(t, suspects.End(start, 2, "innocent", true))
	collector.Clear("innocent")
	crash(3)
	_, ok = suspects.ResendAfter(start, "culprit")
	assert.Assert(t, !ok)
	pause, ok = suspects.ResendAfter(start, "other")
	assert.Assert(t, ok && pause == 0)
	_, quarantined := collector.Report(start, "innocent", 4)
	assert.Assert(t, !quarantined)
}

// Guards against unbounded memory for suspects.
func TestSuspectsAreBounded(t *testing.T) {
	suspects := NewSuspects()
	for i := range maxSuspects + 100 {
		suspects.AddReported(start.Add(time.Duration(i)*time.Millisecond), 1, fmt.Sprint(i))
	}
	assert.Equal(t, len(suspects.crashes.entries), maxSuspects)
	assert.Assert(t, suspects.crashes.entries["0"] == nil, "the oldest is evicted first")
	suspects.AddReported(start.Add(time.Hour), 1, "later")
	assert.Equal(t, len(suspects.crashes.entries), 1, "entries outside the window are evicted")
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1 << 10, PrefixSize} {
		body := make([]byte, size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Fingerprint("GET", "/works/1?page=2", "pocket-reader", int64(size), body)
			}
		})
	}
}
