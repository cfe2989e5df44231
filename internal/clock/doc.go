// Package clock provides the time source of the daemon, so that tests can control the time.
package clock
