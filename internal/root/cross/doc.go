// Package cross decides why a request leaves its availability zone, and counts the bytes between zones by cause. The
// decisions are pure: callers pass in what they know about the servers.
package cross
