package daemon

import (
	"io"

	"github.com/buckthornpitch/buckthornpitch/internal/cmds"
)

const program = "buckthornd"

type (
	// arguments is the command line; it holds exactly one command.
	arguments struct {
		Run        *runCommand        `arg:"subcommand:run" help:"run the daemon"`
		Settings   *settingsCommand   `arg:"subcommand:settings" help:"check the settings and print those in force"`
		QuickStart *quickStartCommand `arg:"subcommand:quick-start" help:"run a daemon with embedded state, example rules and a stand-in backend server"`
	}

	// command is implemented by the commands of buckthornd.
	command interface{ command() }
)

func (*runCommand) command()        {}
func (*settingsCommand) command()   {}
func (*quickStartCommand) command() {}

// Description returns the text above the usage in the help.
func (arguments) Description() string {
	return "buckthornd keeps overload in one part of a service call graph from spreading. One daemon runs beside each backend server."
}

// Main runs the command given by args and returns the exit status: 0 after a clean end, 1 after a
// failure, 2 for wrong usage or settings.
func Main(args []string, stdout, stderr io.Writer) int {
	parsed := &arguments{}
	subcommand, status := cmds.Parse(program, parsed, args, stdout, stderr)
	if subcommand == nil {
		return status
	}
	chosen, _ := subcommand.(command)
	switch chosen := chosen.(type) {
	case *runCommand:
		return run(chosen, stdout, stderr)
	case *settingsCommand:
		return printSettings(chosen, stdout, stderr)
	case *quickStartCommand:
		return quickStart(chosen, stdout, stderr)
	}
	return cmds.Usage
}

func fail(stderr io.Writer, status int, err error) int {
	return cmds.Fail(stderr, program, status, err)
}
