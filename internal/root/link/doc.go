// Package link connects daemons by authenticated TCP connections. Each connection carries a yamux session,
// with a separate stream for each call, control stream, consensus stream and peer stream.
package link
