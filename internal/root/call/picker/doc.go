// Package picker chooses the instance of a service that a call is sent to, by the results of the calls that this
// daemon has sent to each instance.
package picker
