package ctrl

import (
	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/watch"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

type (
	// Event is an input of the control loop.
	Event interface{ event() }

	// tokenNeeded is a request that found no token; waiter is unique in this process.
	tokenNeeded struct {
		account string
		waiter  uint64
		reply   chan<- call.TokenVerdict
	}

	// tokenAbandoned ends the wait of a request.
	tokenAbandoned struct {
		account string
		waiter  uint64
	}

	// serviceWanted subscribes to a service; reply receives its first list.
	serviceWanted struct {
		service string
		reply   chan<- *snap.Endpoints
	}

	// announced registers the backend server beside this daemon.
	announced struct {
		announcement member.Announcement
		reply        chan<- announceResult
	}

	announceResult struct {
		endpoint snap.Endpoint
		err      error
	}

	// left ends a registration.
	left struct {
		address string
		reply   chan<- struct{}
	}

	// connectionRefused tells that a backend server does not accept connections.
	connectionRefused struct{ address string }

	// onceStarted asks for an idempotency record.
	onceStarted struct {
		scope state.OnceScope
		hash  []byte
		reply chan<- onceResult
	}

	// onceEnded stores the outcome of an attempt.
	onceEnded struct {
		finish *state.OnceFinish
		reply  chan<- onceResult
	}

	// onceAbandoned tells that nobody waits for the verdict of an attempt any more.
	onceAbandoned struct {
		scope state.OnceScope
		reply chan onceResult
	}

	onceResult struct {
		attempt state.Attempt
		verdict state.OnceVerdict
	}

	// crashSeen reports suspects of a crash, or with cleared a suspect that completed.
	crashSeen struct{ report *CrashReport }

	// drainStarted tells that this daemon is leaving.
	drainStarted struct{}

	// rulesRead is the content of the rules file after a change.
	rulesRead struct{ file watch.File }

	// uplinkOpened, uplinkClosed and leaderSent concern the control stream to the leader.
	uplinkOpened struct{ session *session }
	uplinkClosed struct{ session *session }
	leaderSent   struct {
		session *session
		message Down
	}

	// daemonOpened, daemonClosed and daemonSent concern the control streams of daemons.
	daemonOpened struct{ session *session }
	daemonClosed struct{ session *session }
	daemonSent   struct {
		session *session
		message Up
	}

	// consensus carries an event of the consensus member.
	consensus struct{ input raft.Event }

	// controlsKnown names control instances, from the settings or from the leader.
	controlsKnown struct{ addresses []string }

	// draftSubmitted asks to accept a revision.
	draftSubmitted struct {
		draft Draft
		reply chan<- SubmitResult
	}

	// configRead asks for the accepted revision.
	configRead struct{ reply chan<- ReadResult }

	// storageReopened starts the consensus member anew from what the disk holds.
	storageReopened struct{ restored raft.RecoveredState }

	// reportWanted asks for a report of the operators' endpoint.
	reportWanted struct {
		request ReportRequest
		reply   chan<- reportResult
	}

	reportResult struct {
		body []byte
		err  error
	}
)

func (tokenNeeded) event()       {}
func (tokenAbandoned) event()    {}
func (serviceWanted) event()     {}
func (announced) event()         {}
func (left) event()              {}
func (connectionRefused) event() {}
func (onceStarted) event()       {}
func (onceEnded) event()         {}
func (onceAbandoned) event()     {}
func (crashSeen) event()         {}
func (drainStarted) event()      {}
func (rulesRead) event()         {}
func (uplinkOpened) event()      {}
func (uplinkClosed) event()      {}
func (leaderSent) event()        {}
func (daemonOpened) event()      {}
func (daemonClosed) event()      {}
func (daemonSent) event()        {}
func (consensus) event()         {}
func (reportWanted) event()      {}
func (controlsKnown) event()     {}
func (storageReopened) event()   {}
func (draftSubmitted) event()    {}
func (configRead) event()        {}
