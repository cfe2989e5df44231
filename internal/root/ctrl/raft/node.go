package raft

import "time"

type (
	// Node is one member; the control loop owns it.
	Node struct{}
)

// New returns a member with the state that its disk held; cfg.Name must be in cfg.Peers.
func New(cfg Config, restored Restored, now time.Time) *Node { panic("not implemented") }

// Step handles one event and returns the actions to execute in order.
func (n *Node) Step(now time.Time, ev Event) []Action { panic("not implemented") }

// Status returns a copy of the member's state as of the last Step.
func (n *Node) Status() Status { panic("not implemented") }

// LeaseHeld reports whether this member leads and its lease covers now.
func (n *Node) LeaseHeld(now time.Time) bool { panic("not implemented") }

// Deadline returns when the next Tick is due.
func (n *Node) Deadline() time.Time { panic("not implemented") }
