package disk

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"gotest.tools/v3/assert"
)

// scenario runs one script of testdata/scenarios on a cluster.
type scenario struct {
	*cluster
	memberNames map[string]string // by variable of the script
	savedDisks  map[string]*memFS // by member name
}

// Guards against the failures that the comments at the start of the scripts describe.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/scenarios/*.txt")
	assert.NilError(t, err)
	for _, file := range files {
		for _, seed := range []uint64{1, 2, 3} {
			t.Run(filepath.Base(file)+"/"+strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				text, err := os.ReadFile(file)
				assert.NilError(t, err)
				s := &scenario{memberNames: map[string]string{}, savedDisks: map[string]*memFS{}}
				for i, line := range strings.Split(string(text), "\n") {
					words := strings.Fields(line)
					if len(words) == 0 || words[0] == "#" {
						continue
					}
					if words[0] == "members" {
						s.cluster = newCluster(t, seed, words[1:]...)
						continue
					}
					s.logEvent("line %d: %s", i+1, line)
					for i, word := range words {
						if name, ok := s.memberNames[word]; ok {
							words[i] = name
						}
					}
					s.runCommand(words[0], words[1:])
				}
			})
		}
	}
}

// runCommand runs one line of a script. Arguments that are variables have been replaced by member names.
func (s *scenario) runCommand(name string, args []string) {
	var m *member
	if len(args) > 0 {
		m = s.member(args[0])
	}
	last := args[max(len(args)-1, 0):]
	switch name {
	case "run":
		s.run(s.parseDuration(last))
	case "await-recovery":
		s.requireRecovery(s.parseDuration(last))
	case "as":
		s.nameMember(args[0], args[1])
	case "heal":
		s.cut = map[[2]string]bool{}
	case "isolate":
		s.isolate(m.name, args[1] == "both")
		if args[1] == "in" {
			s.cut = map[[2]string]bool{}
			for _, from := range s.members {
				s.cut[[2]string{from.name, m.name}] = true
			}
		}
	case "cut":
		s.cut[[2]string{args[0], args[1]}] = true
	case "reconnect":
		delete(s.cut, [2]string{args[0], args[1]})
		delete(s.cut, [2]string{args[1], args[0]})
	case "network":
		s.loss, s.duplication, s.delay = s.parseNumber(args[0]), s.parseNumber(args[1]), int(s.parseDuration(last)/time.Millisecond)
	case "padding":
		s.snapshotPadding = s.parseNumber(args[0])
	case "crash":
		s.crash(m, int(s.parseDuration(last)/time.Millisecond))
	case "pause":
		m.pausedUntil = s.now + s.parseDuration(last)
	case "slow":
		m.writeDelay = int(s.parseDuration(last) / time.Millisecond)
	case "clock":
		m.clockOffset += s.parseDuration(last)
	case "wipe":
		s.wipeDisk(m)
	case "save-disk":
		s.savedDisks[m.name] = m.fs.clone()
	case "restore-disk":
		s.replaceDisk(m, s.savedDisks[m.name])
	case "add":
		m = &member{name: args[0], fs: newMemFS(s.random.Uint64()), writeDelay: 1}
		s.members = append(s.members, m)
		for _, m := range s.members {
			s.crash(m, 10)
		}
	case "replace":
		for _, m := range s.members {
			s.handle(m, raft.ReplaceVoter{Old: args[0], New: args[1]})
		}
	case "expect":
		s.expect(args[0], args[1:])
	default:
		s.fatalf("unknown command %s", name)
	}
}

// nameMember assigns the leader, or the first other member, to a variable of the script.
func (s *scenario) nameMember(variable, role string) {
	leader := s.leader()
	if leader == nil {
		s.fatalf("no leader")
	}
	for _, m := range s.members {
		if (m == leader) == (role == "leader") {
			s.memberNames["$"+variable] = m.name
			return
		}
	}
}

// expect fails the test unless the condition holds. All conditions except no-lease, fenced and applied also require
// a leader with lease.
func (s *scenario) expect(condition string, args []string) {
	leader := s.leader()
	ok := leader != nil
	if len(args) > 0 && condition != "voters" {
		m := s.member(args[0])
		switch condition {
		case "lease":
			ok = leader == m
		case "no-lease":
			ok = leader != m
		case "fenced":
			ok = m.fenceReason != "" && m.node.Status().Fenced
		case "applied":
			ok = m.state.count >= uint64(s.parseNumber(args[1]))
		case "caught-up":
			ok = ok && m.state.index+50 > leader.state.index
		case "voter", "no-voter":
			ok = ok && s.isVoter(m.name) == (condition == "voter")
		}
	}
	for _, name := range args {
		if condition == "voters" {
			ok = ok && s.isVoter(name) && len(leader.node.Status().Voters) == len(args)
		}
	}
	if !ok {
		s.fatalf("expected %s %v", condition, args)
	}
}

// isVoter reports whether the leader counts the member with its present disk as a voter.
func (s *scenario) isVoter(name string) bool {
	for _, v := range s.leader().node.Status().Voters {
		if v.Name == name && v.Disk == s.member(name).disk.identity.Disk {
			return true
		}
	}
	return false
}

func (s *scenario) parseDuration(words []string) time.Duration {
	d, err := time.ParseDuration(words[0])
	assert.NilError(s.t, err)
	return d
}

func (s *scenario) parseNumber(word string) int {
	n, err := strconv.Atoi(word)
	assert.NilError(s.t, err)
	return n
}
