// Package call serves traffic: it receives requests from callers and local backend servers, sends each to
// an instance of its service, and streams the response back. Its goroutines read control state only through
// snapshots.
package call
