// Package accept accepts connections in spite of failures, closes listeners without cutting off callers that have just
// connected, reads what has arrived in spite of deadlines, and bounds the connections of several listeners together.
package accept
