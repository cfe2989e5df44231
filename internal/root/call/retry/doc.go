// Package retry decides what a failure means to the caller and whether a request is sent again. It
// holds the table of reasons and outcomes, the attempt budget of a call tree and the retry share of
// each service.
package retry
