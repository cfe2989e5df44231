// Package relay forwards requests from callers to backend servers. It reads a request from the caller's
// connection, sends it to the daemon next to a backend server of the request's service, and returns the
// complete response. Only that daemon opens connections to the backend server. A Dialect decodes and encodes
// the protocol of the front end.
package relay
