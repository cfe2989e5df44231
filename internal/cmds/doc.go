// Package cmds holds what the command lines of the programs with subcommands share.
package cmds
