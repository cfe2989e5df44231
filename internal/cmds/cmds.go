package cmds

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit statuses of the programs.
const (
	OK     = 0
	Failed = 1
	Usage  = 2
)

// Parse reads the command line into target and returns the chosen subcommand. After it has written help or
// an error it returns nil, and the program has to exit with status.
func Parse(program string, target any, args []string, stdout, stderr io.Writer) (chosen any, status int) {
	parser, err := arg.NewParser(arg.Config{Program: program, Out: stderr}, target)
	if err != nil {
		return nil, Fail(stderr, program, Failed, err)
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)
		return nil, OK
	case err != nil:
		return nil, Fail(stderr, program, Usage, err)
	case parser.Subcommand() == nil:
		parser.WriteHelp(stderr)
		return nil, Usage
	}
	return parser.Subcommand(), OK
}

// Fail writes an error and returns the exit status.
func Fail(stderr io.Writer, program string, status int, err error) int {
	_, _ = fmt.Fprintf(stderr, "%s: %v\n", program, err)
	return status
}
