// Package accept closes listeners without cutting off callers that have just connected, and bounds the connections of
// several listeners together.
package accept
