// Package bench measures daemons end to end on loopback addresses: added latency, processor time, memory,
// control traffic, and the time that changes and failures take. Each measurement starts the daemons and
// backend servers that it needs and runs for a bounded time.
package bench
