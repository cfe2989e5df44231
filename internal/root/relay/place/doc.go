// Package place chooses, for one service, the backend server that a request is sent to. It is pure: time
// is passed in, and what it knows of the servers is reported to it.
package place
