// Package ctrl is the control plane of a daemon. One goroutine, the loop, owns all control state: the
// configuration, leases, token pools, views of services and, on control instances, the consensus member and
// the leader's state. Other goroutines post events to the loop and read the snapshots that it publishes.
package ctrl
