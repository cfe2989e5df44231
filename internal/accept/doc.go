// Package accept closes listeners without cutting off callers that have just connected.
package accept
