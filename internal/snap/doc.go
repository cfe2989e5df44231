// Package snap holds the immutable data that the control loop publishes to traffic goroutines.
package snap
