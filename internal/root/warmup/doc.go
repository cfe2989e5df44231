// Package warmup limits the rate of requests to one backend server while it is cold. It is pure: the time is an
// argument, and the caller guards a limiter with the lock of its admission controller.
//
// The bound that it keeps: in any window of one second a cold server receives at most 8 + 1.5 × rate requests, from all
// daemons together. All of them pass through the limiter of its local daemon.
package warmup
