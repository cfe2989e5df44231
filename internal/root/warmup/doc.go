// Package warmup limits the rate of requests to one backend server while it is cold. It is pure: the time is an
// argument, and the caller guards a limiter with the lock of its admission controller.
package warmup
