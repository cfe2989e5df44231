// Package replay runs traces of demand and faults in simulated time through the decision code of
// admission, routing, retries and quarantine, against small stand-ins for backend servers.
package replay
