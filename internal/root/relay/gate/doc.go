// Package gate decides, beside one backend server, which requests start, which wait and which are turned
// away at once. It is pure: time is passed in, and nothing here waits or sends.
package gate
