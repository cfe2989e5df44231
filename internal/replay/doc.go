// Package replay runs traces of demand and faults in simulated time through the decision code of
// admission control, load balancing, retries and quarantine, with simulated backend servers.
package replay
