// Package retry decides what a failure means to the caller and whether a request is retried. It holds the table
// of reasons and outcomes, the retry budget of a request with all its nested calls, and the retry share of each
// service.
package retry
