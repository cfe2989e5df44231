// Package codec converts consensus messages to wire frames, and wire frames to checked consensus messages.
package codec
