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

	// tokenRequested is a request that found no token; waiter is unique in this process.
	tokenRequested struct {
		account string
		waiter  uint64
		reply   chan<- call.TokenVerdict
	}

	// tokenWaitCanceled ends the wait of a request.
	tokenWaitCanceled struct {
		account string
		waiter  uint64
	}

	// endpointsRequested subscribes to a service; reply receives its first list.
	endpointsRequested struct {
		service string
		reply   chan<- *snap.Endpoints
	}

	// announced registers the backend server beside this daemon.
	backendAnnounced struct {
		announcement member.Announcement
		reply        chan<- announceResult
	}

	announceResult struct {
		endpoint snap.Endpoint
		err      error
	}

	// left ends a registration.
	backendLeft struct {
		address string
		reply   chan<- struct{}
	}

	// connectionRefused tells that a backend server does not accept connections.
	connectionRefused struct{ address string }

	// onceBeginRequested asks for an idempotency record.
	onceBeginRequested struct {
		scope state.OnceScope
		hash  []byte
		reply chan<- onceResult
	}

	// onceFinishRequested stores the outcome of an attempt.
	onceFinishRequested struct {
		finish *state.OnceFinish
		reply  chan<- onceResult
	}

	// onceWaitCanceled tells that nobody waits for the verdict of an attempt any more.
	onceWaitCanceled struct {
		scope state.OnceScope
		reply chan onceResult
	}

	onceResult struct {
		attempt state.Attempt
		verdict state.OnceVerdict
	}

	// crashReported reports suspects of a crash, or with cleared a suspect that completed.
	crashReported struct{ report *CrashReport }

	// drainRequested tells that this daemon is leaving.
	drainRequested struct{}

	// rulesFileRead is the content of the rules file after a change.
	rulesFileRead struct{ file watch.File }

	// uplinkOpened, uplinkClosed and leaderMessageReceived concern the control stream to the leader.
	uplinkOpened          struct{ session *session }
	uplinkClosed          struct{ session *session }
	leaderMessageReceived struct {
		session *session
		message LeaderMessage
	}

	// daemonConnected, daemonDisconnected and daemonMessageReceived concern the control streams of daemons.
	daemonConnected       struct{ session *session }
	daemonDisconnected    struct{ session *session }
	daemonMessageReceived struct {
		session *session
		message DaemonMessage
	}

	// consensus carries an event of the consensus member.
	raftEvent struct{ input raft.Event }

	// controlAddressesAdded names control instances, from the settings or from the leader.
	controlAddressesAdded struct{ addresses []string }

	// draftSubmitted asks to accept a revision.
	draftSubmitted struct {
		draft Draft
		reply chan<- SubmitResult
	}

	// configReadRequested asks for the accepted revision.
	configReadRequested struct{ reply chan<- ReadResult }

	// storageReopened starts the consensus member anew from what the disk holds.
	storageReopened struct{ restored raft.Restored }

	// reportRequested asks for a report of the operators' endpoint.
	reportRequested struct {
		request ReportRequest
		reply   chan<- reportResult
	}

	reportResult struct {
		body []byte
		err  error
	}
)

func (tokenRequested) event()        {}
func (tokenWaitCanceled) event()     {}
func (endpointsRequested) event()    {}
func (backendAnnounced) event()      {}
func (backendLeft) event()           {}
func (connectionRefused) event()     {}
func (onceBeginRequested) event()    {}
func (onceFinishRequested) event()   {}
func (onceWaitCanceled) event()      {}
func (crashReported) event()         {}
func (drainRequested) event()        {}
func (rulesFileRead) event()         {}
func (uplinkOpened) event()          {}
func (uplinkClosed) event()          {}
func (leaderMessageReceived) event() {}
func (daemonConnected) event()       {}
func (daemonDisconnected) event()    {}
func (daemonMessageReceived) event() {}
func (raftEvent) event()             {}
func (reportRequested) event()       {}
func (controlAddressesAdded) event() {}
func (storageReopened) event()       {}
func (draftSubmitted) event()        {}
func (configReadRequested) event()   {}
