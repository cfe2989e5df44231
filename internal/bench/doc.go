// Package bench measures daemons end to end on loopback addresses: added time, processor time, memory,
// control traffic, and the times of changes and failures. Each measurement starts what it needs, runs for
// a bounded time and stops by itself.
package bench
