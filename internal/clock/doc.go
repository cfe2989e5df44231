// Package clock provides the time source that all decisions receive, so that tests control time.
package clock
