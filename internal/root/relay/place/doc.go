// Package place is the load balancer of one service: it chooses the backend server that a request is sent to.
// It is pure: callers pass in the time and report the results of requests.
package place
