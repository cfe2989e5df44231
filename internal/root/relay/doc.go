// Package relay serves requests whose front end is spoken by a Dialect: it reads them from callers, sends
// each to the daemon beside a backend server of its service, and passes the whole answer back. The daemon
// beside a backend server is the only one that sends to it.
package relay
