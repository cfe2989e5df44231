// Package picker chooses the instance of a service that gets a call, from what this daemon has seen of
// each instance.
package picker
