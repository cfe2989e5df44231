// Package local holds what both front ends do for the backend servers beside their daemon: they refuse the waiting
// requests when the availability zone is evacuated, and log when a server turns cold or warm.
package local
