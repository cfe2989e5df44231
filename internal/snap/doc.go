// Package snap holds the immutable data that traffic goroutines read without a lock.
package snap
