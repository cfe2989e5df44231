// Package simul contains tests only: a deterministic simulation of consensus groups. Nodes of package raft run on a
// virtual clock with a simulated network and disks in memory. Package rapid draws the schedules of faults, and repeats
// and shortens the one that fails.
//
// The simulation makes the same calls as the control loop: it executes the actions of a step in order, queues the
// events that follow from them, starts a member again after a disk error, and bounds the wait of a member that stops.
package simul
