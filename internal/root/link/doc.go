// Package link connects daemons: authenticated TCP connections that carry yamux sessions, in which each
// call, control stream and consensus stream has a stream of its own.
package link
