// Package opctl implements the commands of buckthornctl, the operators' client. All commands are
// read-only: they read files and the operators' endpoint of a daemon.
package opctl
