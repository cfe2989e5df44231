package bench

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/cmds"
)

const program = "buckthornbench"

type (
	arguments struct {
		Added    *addedCommand    `arg:"subcommand:added" help:"time added to a call by one and by two daemons"`
		Cores    *coresCommand    `arg:"subcommand:cores" help:"calls per second and core"`
		Memory   *memoryCommand   `arg:"subcommand:memory" help:"memory per caller connection, daemon and peer session"`
		Records  *recordsCommand  `arg:"subcommand:records" help:"idempotency records per second on this disk"`
		Spread   *spreadCommand   `arg:"subcommand:spread" help:"time until an accepted change is in force on all daemons"`
		Failover *failoverCommand `arg:"subcommand:failover" help:"time until daemons follow another leader"`
		Recovery *recoveryCommand `arg:"subcommand:recovery" help:"time from a voter's restart until it leads"`
		Control  *controlCommand  `arg:"subcommand:control" help:"control bytes and processor time for each daemon and the leader"`
		Change   *changeCommand   `arg:"subcommand:change" help:"processor time, bytes and disk space of one change"`
		Rejoin   *rejoinCommand   `arg:"subcommand:rejoin" help:"many daemons that start at once"`
		Crowd    *crowdCommand    `arg:"subcommand:crowd" help:"a crowd of clients outside of the limits against a running daemon"`
		Host     *hostCommand     `arg:"subcommand:host" help:"run daemons for another measurement; used by the command itself"`

		Output string `arg:"--output" default:"text" help:"text or json"`
		Folder string `arg:"--folder" placeholder:"DIR" help:"folder for the data folders; a temporary one by default"`
	}

	// command is a subcommand; its measurement is in the file of the same name.
	command interface{ command() }

	// bench holds the folder for data, the error output and the port allocation that all measurements share.
	bench struct {
		folder string
		stderr io.Writer
		ports  ports
	}
)

func (*addedCommand) command()    {}
func (*coresCommand) command()    {}
func (*memoryCommand) command()   {}
func (*recordsCommand) command()  {}
func (*spreadCommand) command()   {}
func (*failoverCommand) command() {}
func (*recoveryCommand) command() {}
func (*controlCommand) command()  {}
func (*changeCommand) command()   {}
func (*rejoinCommand) command()   {}
func (*crowdCommand) command()    {}
func (*hostCommand) command()     {}

// Main runs the measurement that args select and returns the exit status: 0 after a complete run, 1 after a
// failure, 2 for wrong usage.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	parsed := &arguments{}
	subcommand, status := cmds.Parse(program, parsed, args, stdout, stderr)
	if subcommand == nil {
		return status
	}
	if parsed.Output != "text" && parsed.Output != "json" {
		return fail(stderr, cmds.Usage, fmt.Errorf("output format %q is neither text nor json", parsed.Output))
	}
	chosen, _ := subcommand.(command)
	if host, ok := chosen.(*hostCommand); ok {
		if err := host.run(stdin, stdout); err != nil {
			return fail(stderr, cmds.Failed, err)
		}
		return cmds.OK
	}
	folder, err := os.MkdirTemp(parsed.Folder, "buckthorn-bench-")
	if err != nil {
		return fail(stderr, cmds.Failed, fmt.Errorf("create folder: %w", err))
	}
	defer func() { _ = os.RemoveAll(folder) }()
	b := &bench{folder: folder, stderr: stderr, ports: newPorts()}
	report := newReport(args)
	started := time.Now()
	if err := b.measure(chosen, report); err != nil {
		return fail(stderr, cmds.Failed, err)
	}
	report.finish(started)
	if err := report.write(stdout, parsed.Output); err != nil {
		return fail(stderr, cmds.Failed, err)
	}
	return cmds.OK
}

func (b *bench) measure(chosen command, report *Report) error {
	switch chosen := chosen.(type) {
	case *addedCommand:
		return b.measureAdded(chosen, report)
	case *coresCommand:
		return b.measureCores(chosen, report)
	case *memoryCommand:
		return b.measureMemory(chosen, report)
	case *recordsCommand:
		return b.measureRecords(chosen, report)
	case *spreadCommand:
		return b.measureSpread(chosen, report)
	case *failoverCommand:
		return b.measureFailover(chosen, report)
	case *recoveryCommand:
		return b.measureRecovery(chosen, report)
	case *controlCommand:
		return b.measureControl(chosen, report)
	case *changeCommand:
		return b.measureChange(chosen, report)
	case *crowdCommand:
		return b.measureCrowd(chosen, report)
	case *rejoinCommand:
		return b.measureRejoin(chosen, report)
	}
	return fmt.Errorf("unknown measurement %T", chosen)
}

func fail(stderr io.Writer, status int, err error) int {
	return cmds.Fail(stderr, program, status, err)
}
