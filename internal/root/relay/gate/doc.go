// Package gate is the admission controller of one backend server: it decides which requests start, which wait
// in its queue and which are refused. It is pure: callers pass in the time, and it neither blocks nor does I/O.
package gate
