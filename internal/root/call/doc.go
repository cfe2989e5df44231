// Package call serves traffic: it takes requests from callers and backend servers, sends each to an
// instance of its service, and streams the answer back. Its goroutines read control state only through
// snapshots.
package call
