// Package daemon implements the commands of buckthornd: run, settings and quick-start.
package daemon
