package rules

import (
	"flag"
	"fmt"
	"net/url"
	"os"
	"path"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	anyName    = rapid.StringMatching(`[a-z][a-z0-9-]{0,8}`)
	anyPerson  = rapid.StringMatching(`[A-Z][a-zéø#]{1,8}( [A-Z][a-z]{1,8})?`)
	anyReason  = rapid.StringMatching(`([a-z#][a-z:# ]{0,20}[a-z])?`)
	anyRegions = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"eu", "us", "Ap_1", ""}), 2, 3, rapid.ID[string])
	anySegment = rapid.SampledFrom([]string{"a", "b", "c", "{x}", "{x}"})
)

// TestMain fixes the seed of the property tests unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func drawRule(t *rapid.T, kind Kind, name string) Rule {
	return Rule{Kind: kind, Name: name, Requester: anyPerson.Draw(t, "person"), Reason: anyReason.Draw(t, "reason")}
}

func drawPattern(t *rapid.T) string {
	segments := rapid.SliceOfN(anySegment, 0, 4).Draw(t, "segments")
	for i := range segments {
		segments[i] = strings.Replace(segments[i], "x", fmt.Sprintf("v%d", i), 1)
	}
	if rapid.Bool().Draw(t, "rest") {
		segments = append(segments, "{rest...}")
	}
	return "/" + strings.Join(segments, "/")
}

func drawRoute(t *rapid.T, service, account string) *Route {
	route := &Route{
		Method:     rapid.SampledFrom(methods).Draw(t, "method"),
		Path:       drawPattern(t),
		Service:    service,
		Access:     Access(rapid.IntRange(1, 2).Draw(t, "access")),
		Run:        Run(rapid.IntRange(1, 2).Draw(t, "run")),
		Importance: Importance(rapid.IntRange(1, 2).Draw(t, "importance")),
		Deadline:   time.Duration(rapid.IntRange(1, int(maxDeadline/time.Millisecond)).Draw(t, "deadline")) * time.Millisecond,
		Retries:    rapid.IntRange(0, maxRetries).Draw(t, "retries"),
		Nested:     rapid.Bool().Draw(t, "nested"),
	}
	route.Rule = drawRule(t, KindRoute, route.Method+route.Path)
	route.Offline = route.Access == AccessOpen && route.Run == RunIdempotent && rapid.Bool().Draw(t, "offline")
	if rapid.Bool().Draw(t, "in regions") {
		route.Regions = anyRegions.Draw(t, "regions")
	}
	if route.Access == AccessKeyed && rapid.Bool().Draw(t, "restricted") {
		route.Accounts = []string{account}
	}
	return route
}

func drawStatements(t *rapid.T) []Statement {
	revision := rapid.Uint64Range(1, 1<<40).Draw(t, "revision")
	service := &Service{
		Rule:  drawRule(t, KindService, anyName.Draw(t, "service")),
		Slots: rapid.IntRange(1, maxSlots).Draw(t, "slots"), Connections: rapid.IntRange(1, maxConnections).Draw(t, "connections"),
		RetryShare: float64(rapid.IntRange(0, 10000).Draw(t, "share")) / 100 / 100,
	}
	account := &Account{
		Rule:  drawRule(t, KindAccount, anyName.Draw(t, "account")),
		Rate:  Rate{Count: rapid.IntRange(1, maxBurst).Draw(t, "rate"), Per: rapid.SampledFrom(rateUnits).Draw(t, "unit").per},
		Burst: rapid.IntRange(1, maxBurst).Draw(t, "burst"),
	}
	if rapid.Bool().Draw(t, "account in regions") {
		account.Regions = anyRegions.Draw(t, "account regions")
	}
	key := &Key{Account: account.Name, Hash: HashKey(anyName.Draw(t, "key")), State: State(rapid.IntRange(1, 2).Draw(t, "state"))}
	key.Rule = drawRule(t, KindKey, KeyName(account.Name, key.Hash))
	all := []Statement{&Revision{Rule: drawRule(t, KindRevision, fmt.Sprint(revision)), Number: revision}, service, account, key}
	names := map[string]bool{}
	for range rapid.IntRange(0, 12).Draw(t, "routes") {
		if route := drawRoute(t, service.Name, account.Name); !names[route.Name] {
			names[route.Name] = true
			all = append(all, route)
		}
	}
	for i, s := range all {
		RuleOf(s).Line = i + 1
	}
	return all
}

func linesOf(all []Statement) string {
	var text strings.Builder
	for _, s := range all {
		text.WriteString(CanonicalLine(s) + "\n")
	}
	return text.String()
}

// Guards against a rule whose canonical line is rejected by the parser or parsed as a different rule.
func TestLinesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawStatements(t)
		text := linesOf(all)
		set, err := Parse("rules", []byte(text))
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		assert.DeepEqual(t, set.Statements(), all)
		formatted, err := Format("rules", []byte(text))
		assert.NilError(t, err)
		assert.Equal(t, string(formatted), text)
	})
}

// Guards against a trie look-up that does not return the most specific route. The expected route comes from
// a comparison of the path with every pattern.
func TestMatchAgainstSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, err := Parse("rules", []byte(linesOf(drawStatements(t))))
		assert.NilError(t, err)
		method := rapid.SampledFrom(methods).Draw(t, "method")
		segments := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 5).Draw(t, "path")
		request := "/" + strings.Join(segments, "/")
		var best *Route
		var bestRank []int
		for _, route := range set.Routes {
			rank, matches := matchRank(route.Path, segments)
			if route.Method == method && matches && (best == nil || slices.Compare(rank, bestRank) < 0) {
				best, bestRank = route, rank
			}
		}
		match, found := set.Match(method, request)
		if found != (best != nil) || match.Route != best {
			t.Fatalf("%s %s: got %+v, want %+v", method, request, match.Route, best)
		}
	})
}

// matchRank reports whether a pattern matches a path and ranks each segment of the match: 0 for a literal, 1
// for a variable, 2 for the rest. Lower ranks are more specific.
func matchRank(pattern string, segments []string) (rank []int, matches bool) {
	parts := strings.Split(pattern[1:], "/")
	if len(segments) == 0 {
		segments = []string{""}
	}
	for i, part := range parts {
		switch {
		case part == "{rest...}":
			return append(rank, 2), i < len(segments)
		case i >= len(segments):
			return nil, false
		case part == segments[i]:
			rank = append(rank, 0)
		case part[:min(1, len(part))] == "{" && segments[i] != "":
			rank = append(rank, 1)
		default:
			return nil, false
		}
	}
	return rank, len(parts) == len(segments)
}

// Guards against a parser that accepts shadowed routes or rejects reachable ones. The expected result comes
// from sample paths for every pattern.
func TestShadowedAgainstSearch(t *testing.T) {
	endings := []string{"", "/", "/a", "/{rest...}"}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Split(example, "route")[0]
		var patterns []string
		for range rapid.IntRange(1, 7).Draw(t, "routes") {
			pattern := strings.Repeat("/{v}", rapid.IntRange(0, 2).Draw(t, "depth")) + rapid.SampledFrom(endings).Draw(t, "ending")
			if pattern = strings.Replace(pattern, "v", "w", 1); pattern != "" && !slices.Contains(patterns, pattern) {
				patterns = append(patterns, pattern)
				text += "route GET " + pattern + " service=reader access=open run=idempotent deadline=2s # requested by A\n"
			}
		}
		shadowed := 0
		for _, pattern := range patterns {
			if !reachable(pattern, patterns) {
				shadowed++
			}
		}
		_, err := Parse("rules", []byte(text))
		problems, _ := err.(Problems)
		assert.Equal(t, len(problems), shadowed, "%s%v", text, err)
	})
}

// reachable reports whether the pattern is the most specific one for a path with up to four segments in its
// rest.
func reachable(pattern string, patterns []string) bool {
	start, isRest := strings.CutSuffix(pattern, "{rest...}")
	start = strings.NewReplacer("{v}", "z", "{w}", "z").Replace(start)
	ends := []string{""}
	if isRest {
		ends = []string{"", "z", "z/", "z/z", "z/z/", "z/z/z", "z/z/z/z"}
	}
	return slices.ContainsFunc(ends, func(end string) bool {
		segments := strings.Split((start + end)[1:], "/")
		rank, _ := matchRank(pattern, segments)
		return !slices.ContainsFunc(patterns, func(other string) bool {
			otherRank, matches := matchRank(other, segments)
			return matches && slices.Compare(otherRank, rank) < 0
		})
	})
}

// Guards against requests that bypass a keyed route by an encoded path that the backend server resolves to a
// different path.
func TestMatchRefusesAmbiguousPaths(t *testing.T) {
	text := strings.Split(example, "route")[0] + `route GET /{rest...} service=reader access=open run=idempotent deadline=2s # requested by A
route GET /admin/{id} service=reader access=keyed run=idempotent deadline=2s # requested by A
`
	set, err := Parse("rules", []byte(text))
	assert.NilError(t, err)
	for _, path := range []string{
		"", "admin", "/%61dmin/1", "/x/../admin/1", "/x/%2e%2E/admin/1", "//admin/1", "/./admin/1", "/admin%2f1", "/admin%5C1",
		`/\admin/1`, "/admin;v=1/1", "/admin/%00", "/admin/%zz", "/admin/%4", "/admin\x00/1", "/ädmin", "/x?y", "/" + strings.Repeat("a/", 64),
		"/" + strings.Repeat("a", maxPathLength),
	} {
		match, found := set.Match("GET", path)
		assert.Assert(t, !found, "%q matches %v", path, match.Route)
	}
	for path, want := range map[string]string{"/": "{rest...}", "/admin/": "{rest...}", "/x": "{rest...}", "/admin": "{rest...}", "/admin/%C3%A9%20": "admin/{id}", "/admin/1/": "{rest...}"} {
		match, found := set.Match("HEAD", path)
		assert.Assert(t, found && match.Route.Path == "/"+want, "%q", path)
	}
	_, found := set.Match("POST", "/x")
	assert.Assert(t, !found)
}

// Guards against accepted keys that are unknown or withdrawn.
func TestKeyFor(t *testing.T) {
	set := parseExample(t)
	for _, wrong := range []string{"", "secre", "secret ", strings.Repeat("s", MaxKeyLength+1)} {
		key, ok := set.KeyFor(wrong)
		assert.Assert(t, key == nil && !ok, wrong)
	}
	set, err := Parse("rules", []byte(strings.Replace(example, " # requested by Lou Roy\n", " state=withdrawn # requested by Lou Roy\n", 1)))
	assert.NilError(t, err)
	key, ok := set.KeyFor("secret")
	assert.Assert(t, key != nil && !ok)
}

// Guards against panics, problems without a position or a fix, and a formatter that changes the rules.
func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte("revision 1 # requested by A\nservice a slots=1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := Parse("rules", text)
		if err != nil {
			for _, problem := range err.(Problems) {
				if problem.Line < 1 || problem.Column < 1 || problem.Message == "" || problem.Fix == "" {
					t.Fatalf("incomplete problem %+v", problem)
				}
			}
			return
		}
		formatted, err := Format("rules", text)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := Parse("rules", formatted)
		if err != nil {
			t.Fatalf("%v\n%s", err, formatted)
		}
		if !Compare(set, reparsed).Empty() || set.Revision != reparsed.Revision || set.Author != reparsed.Author {
			t.Fatalf("the formatted file differs:\n%s\n%s", text, formatted)
		}
	})
}

// Guards against a match for a path that is a different path after decoding.
func FuzzMatch(f *testing.F) {
	set, err := Parse("rules", []byte(strings.Split(example, "route")[0]+"route GET /{rest...} service=reader access=open run=idempotent deadline=2s # requested by A\n"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add("/works/%C3%A9")
	f.Add("/a/%2e./b")
	f.Fuzz(func(t *testing.T, request string) {
		match, found := set.Match("GET", request)
		if !found {
			return
		}
		decoded, err := url.PathUnescape(request)
		if err != nil || strings.Count(decoded, "/") != strings.Count(request, "/") || path.Clean(decoded) != "/"+strings.Trim(decoded, "/") {
			t.Fatalf("%q matches %s but decodes to %q", request, match.Route.Path, decoded)
		}
	})
}
