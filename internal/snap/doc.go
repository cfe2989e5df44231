// Package snap holds the immutable view of control state that the control loop publishes to traffic.
package snap
