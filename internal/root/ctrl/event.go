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

	// tokenRequested waits for a rate token because the local token pool is empty; waiter is unique in this
	// process.
	tokenRequested struct {
		account string
		waiter  uint64
		reply   chan<- call.TokenVerdict
	}

	// tokenWaitCanceled ends the token wait of a request.
	tokenWaitCanceled struct {
		account string
		waiter  uint64
	}

	// endpointsRequested subscribes to a service; reply receives its first non-empty list.
	endpointsRequested struct {
		service string
		reply   chan<- *snap.Endpoints
	}

	// backendAnnounced registers a local backend server.
	backendAnnounced struct {
		announcement member.Announcement
		reply        chan<- announceResult
	}

	announceResult struct {
		endpoint snap.Endpoint
		err      error
	}

	// backendLeft ends the registration of a local backend server.
	backendLeft struct {
		address string
		reply   chan<- struct{}
	}

	// connectionRefused reports that a local backend server does not accept connections.
	connectionRefused struct{ address string }

	// onceBeginRequested requests an idempotency record.
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

	// onceWaitCanceled ends the wait of a request for its idempotency record.
	onceWaitCanceled struct {
		scope state.OnceScope
		reply chan onceResult
	}

	onceResult struct {
		attempt state.Attempt
		verdict state.OnceVerdict
	}

	// crashReported carries requests suspected of a crash or, with Cleared, one that completed.
	crashReported struct{ report *CrashReport }

	// drainRequested starts the drain of this daemon.
	drainRequested struct{}

	// rulesFileRead carries the content of the rules file after a change.
	rulesFileRead struct{ file watch.File }

	// uplinkOpened, uplinkClosed and leaderMessageReceived are events of this daemon's control stream to the
	// leader.
	uplinkOpened          struct{ session *session }
	uplinkClosed          struct{ session *session }
	leaderMessageReceived struct {
		session *session
		message LeaderMessage
	}

	// daemonConnected, daemonDisconnected and daemonMessageReceived are events of the control streams that
	// daemons have opened to this control instance.
	daemonConnected       struct{ session *session }
	daemonDisconnected    struct{ session *session }
	daemonMessageReceived struct {
		session *session
		message DaemonMessage
	}

	// raftEvent carries an event of the consensus member.
	raftEvent struct{ input raft.Event }

	// controlAddressesAdded carries addresses of control instances from changed settings.
	controlAddressesAdded struct{ addresses []string }

	// draftSubmitted requests acceptance of a revision.
	draftSubmitted struct {
		draft Draft
		reply chan<- SubmitResult
	}

	// configReadRequested requests the accepted revision.
	configReadRequested struct{ reply chan<- ReadResult }

	// zoneOrderRequested requests an order for an availability zone; forward allows sending it to the leader.
	zoneOrderRequested struct {
		order   *state.OrderZone
		forward bool
		reply   chan<- OrderResult
	}

	// stopRequested asks the consensus group to remove this member if it can be spared; reply receives a value once
	// that is done or not needed.
	stopRequested struct{ reply chan<- struct{} }

	// storageReopened restarts the consensus member with the state read from the reopened storage.
	storageReopened struct{ restored raft.RecoveredState }

	// reportRequested requests a report for the operators' endpoint.
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
func (stopRequested) event()         {}
func (storageReopened) event()       {}
func (draftSubmitted) event()        {}
func (configReadRequested) event()   {}
func (zoneOrderRequested) event()    {}
