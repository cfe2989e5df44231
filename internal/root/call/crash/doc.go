// Package crash identifies the requests that crash backend servers: each daemon tracks suspects, and the leader
// quarantines fingerprints that were suspects in several crashes.
package crash
