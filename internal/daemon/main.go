package daemon

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit statuses of buckthornd.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type (
	// arguments is the command line; exactly one command is given.
	arguments struct {
		Run        *runCommand        `arg:"subcommand:run" help:"run the daemon"`
		Settings   *settingsCommand   `arg:"subcommand:settings" help:"check the settings and print those in force"`
		QuickStart *quickStartCommand `arg:"subcommand:quick-start" help:"run a daemon with embedded state, example rules and a stand-in backend server"`
	}

	// command is one command of the daemon.
	command interface{ command() }
)

func (*runCommand) command()        {}
func (*settingsCommand) command()   {}
func (*quickStartCommand) command() {}

// Description is shown above the usage.
func (arguments) Description() string {
	return "buckthornd keeps overload in one part of a service call graph from spreading. One daemon runs beside each backend server."
}

// Main runs the command given by args and returns the exit status: 0 after a clean end, 1 after a
// failure, 2 for wrong usage or settings.
func Main(args []string, stdout, stderr io.Writer) int {
	parsed := &arguments{}
	parser, err := arg.NewParser(arg.Config{Program: "buckthornd", Out: stderr}, parsed)
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)
		return exitOK
	case err != nil:
		return fail(stderr, exitUsage, err)
	case parser.Subcommand() == nil:
		parser.WriteHelp(stderr)
		return exitUsage
	}
	chosen, _ := parser.Subcommand().(command)
	switch chosen := chosen.(type) {
	case *runCommand:
		return run(chosen, stderr)
	case *settingsCommand:
		return printSettings(chosen, stdout, stderr)
	case *quickStartCommand:
		return quickStart(chosen, stdout, stderr)
	}
	return exitUsage
}

func fail(stderr io.Writer, status int, err error) int {
	_, _ = fmt.Fprintf(stderr, "buckthornd: %v\n", err)
	return status
}
