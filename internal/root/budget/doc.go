// Package budget decides which connections and which bytes of clients a process holds, so that a crowd of clients
// exceeds neither its descriptors nor its memory. It has no sockets and no clock: both front ends call it.
package budget
