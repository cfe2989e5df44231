// Package snap holds the immutable data that the control loop publishes and traffic goroutines read
// without a lock.
package snap
