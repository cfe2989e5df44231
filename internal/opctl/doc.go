// Package opctl implements the commands of buckthornctl, the operators' client. The commands read files and the
// operators' endpoint of a daemon; only the orders to evacuate and to restore an availability zone change anything.
package opctl
