// Package crash finds the requests that crash backend servers: suspects on each daemon, and the
// quarantine of fingerprints that were suspects in several crashes.
package crash
