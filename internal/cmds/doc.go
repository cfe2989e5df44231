// Package cmds parses the command lines of programs with subcommands.
package cmds
