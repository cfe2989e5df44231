package opctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// Exit statuses of buckthornctl.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitRefused means that the input was refused, differs, or names something that does not exist.
	ExitRefused = 1
	// ExitUsage means wrong arguments or unusable input.
	ExitUsage = 2
	// ExitUnreachable means that the daemon, or its leader, sent no usable response.
	ExitUnreachable = 3
	// ExitTimeout means that the time limit was reached.
	ExitTimeout = 4
)

const epilogue = `exit statuses:
  0  success
  1  refused, different or not found
  2  wrong arguments or unusable input
  3  the daemon or its leader is not reachable
  4  the time ran out`

type (
	// Env holds the streams and sources of the process that the commands use and that tests replace.
	Env struct {
		Stdin  io.Reader
		Stdout io.Writer
		Stderr io.Writer
		Colour bool      // whether the standard output is a terminal that shows colours
		Random io.Reader // source of new keys
		Clock  clock.Clock
	}

	// command is one subcommand: a pointer to one of the structs in arguments.
	command interface{ command() }

	// arguments is the command line.
	arguments struct {
		Admin   string        `arg:"--admin,env:BUCKTHORN_ADMIN" placeholder:"ADDRESS" help:"admin-address of a daemon, a numeric IP address and port"`
		Output  output        `arg:"--output" default:"text" placeholder:"FORMAT" help:"text or json"`
		Timeout time.Duration `arg:"--timeout" default:"5s" placeholder:"DURATION" help:"time for one request"`

		Check     *checkCommand     `arg:"subcommand:check" help:"check a rules file"`
		Diff      *diffCommand      `arg:"subcommand:diff" help:"compare rules files, or one with the rules in force"`
		Wait      *waitCommand      `arg:"subcommand:wait" help:"wait until a revision is in force everywhere"`
		Status    *statusCommand    `arg:"subcommand:status" help:"show the status of a daemon"`
		Explain   *explainCommand   `arg:"subcommand:explain" help:"show a rule, who requested it and why"`
		History   *historyCommand   `arg:"subcommand:history" help:"list accepted revisions, or show one"`
		Dump      *dumpCommand      `arg:"subcommand:dump" help:"show the state of a daemon"`
		CreateKey *createKeyCommand `arg:"subcommand:create-key" help:"create a key for a client account"`
		Trace     *traceCommand     `arg:"subcommand:trace" help:"show what daemons logged about a request"`
		Format    *formatCommand    `arg:"subcommand:format" help:"print a rules file in its canonical form"`

		ExplainRoute *explainRouteCommand `arg:"subcommand:explain-route" help:"show where a request would go now, and why, without sending it"`
		EvacuateZone *evacuateZoneCommand `arg:"subcommand:evacuate-zone" help:"send no more requests to the backend servers of an availability zone"`
		RestoreZone  *restoreZoneCommand  `arg:"subcommand:restore-zone" help:"end the evacuation of an availability zone"`
		Zones        *zonesCommand        `arg:"subcommand:zones" help:"list the availability zones under evacuation"`
	}

	// output is the format of a result: text or json.
	output string

	// outcome is the result of a command; value is printed with --output json, otherwise text.
	outcome struct {
		value  any
		text   func(p *printer)
		status int
	}

	// session is one run of a command.
	session struct {
		Env
		arguments
		client *admin.Client
	}

	// usageError is an error in the arguments or the input.
	usageError struct{ err error }

	// refusal is a negative result that is not an error in the arguments or the input.
	refusal struct{ message string }
)

// Epilogue documents the exit statuses in the help text.
func (*arguments) Epilogue() string { return epilogue }

// Description is the first line of the help text.
func (*arguments) Description() string {
	return "buckthornctl shows the state of a buckthornpitch fleet and checks rules files. It changes nothing, except that evacuate-zone and restore-zone order and revoke an evacuation, also while the rules file cannot be edited."
}

// UnmarshalText accepts text and json.
func (o *output) UnmarshalText(text []byte) error {
	if *o = output(text); *o != "text" && *o != "json" {
		return fmt.Errorf("%q is not text or json", text)
	}
	return nil
}

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }
func (e *refusal) Error() string    { return e.message }

// Run executes the command line without the program name and returns the exit status.
func Run(ctx context.Context, env Env, args []string) int {
	s := &session{Env: env}
	parser, err := arg.NewParser(arg.Config{Program: "buckthornctl", Out: env.Stderr}, &s.arguments)
	if err != nil {
		return s.fail(err)
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		if err := parser.WriteHelpForSubcommand(env.Stdout, parser.SubcommandNames()...); err != nil {
			return s.fail(err)
		}
		return ExitOK
	case err != nil:
		return s.fail(&usageError{err})
	}
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteUsage(env.Stderr)
		return s.fail(&usageError{errors.New("no command given")})
	}
	s.client = &admin.Client{Address: s.Admin, Timeout: s.Timeout}
	result, err := s.run(ctx, chosen)
	if err != nil {
		return s.fail(err)
	}
	return s.print(result)
}

func (s *session) run(ctx context.Context, chosen command) (outcome, error) {
	switch c := chosen.(type) {
	case *checkCommand:
		return c.run(ctx, s)
	case *diffCommand:
		return c.run(ctx, s)
	case *waitCommand:
		return c.run(ctx, s)
	case *statusCommand:
		return c.run(ctx, s)
	case *explainCommand:
		return c.run(ctx, s)
	case *historyCommand:
		return c.run(ctx, s)
	case *dumpCommand:
		return c.run(ctx, s)
	case *createKeyCommand:
		return c.run(s)
	case *formatCommand:
		return c.run(s)
	case *traceCommand:
		return c.run(s)
	case *explainRouteCommand:
		return c.run(ctx, s)
	case *evacuateZoneCommand:
		return c.run(ctx, s)
	case *restoreZoneCommand:
		return c.run(ctx, s)
	case *zonesCommand:
		return c.run(ctx, s)
	}
	return outcome{}, fmt.Errorf("command %T is not handled", chosen)
}

// adminClient returns the client of the daemon, or an error when the address is missing or not numeric.
func (s *session) adminClient() (*admin.Client, error) {
	if s.Admin == "" {
		return nil, &usageError{errors.New("no address given; use --admin or set BUCKTHORN_ADMIN")}
	}
	if _, err := netip.ParseAddrPort(s.Admin); err != nil {
		return nil, &usageError{fmt.Errorf("%q is not a numeric IP address and port such as 127.0.0.1:7403", s.Admin)}
	}
	return s.client, nil
}

// readInput returns the content of a file, or of the standard input for "-".
func (s *session) readInput(path string) ([]byte, error) {
	source := s.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, &usageError{err}
		}
		defer func() { _ = file.Close() }()
		source = file
	}
	text, err := io.ReadAll(io.LimitReader(source, rules.MaxFile+1))
	if err != nil {
		return nil, &usageError{fmt.Errorf("read %s: %w", path, err)}
	}
	return text, nil
}

// parseRules returns the rules of a file and its text; problems of the rules are usage errors.
func (s *session) parseRules(path string) (*rules.Set, []byte, error) {
	text, err := s.readInput(path)
	if err != nil {
		return nil, nil, err
	}
	set, err := rules.Parse(path, text)
	if err != nil {
		return nil, nil, &usageError{err}
	}
	return set, text, nil
}

// parseRevision returns the rules of an accepted revision.
func parseRevision(revision *admin.Revision) (*rules.Set, error) {
	set, err := rules.Parse(fmt.Sprintf("revision-%d", revision.Number), []byte(revision.Text))
	if err != nil {
		return nil, fmt.Errorf("%w: the rules of revision %d do not parse: %w", admin.ErrInvalidResponse, revision.Number, err)
	}
	return set, nil
}

// fail prints an error and returns its exit status.
func (s *session) fail(err error) int {
	for _, line := range strings.Split(err.Error(), "\n") {
		_, _ = fmt.Fprintf(s.Stderr, "buckthornctl: %s\n", line)
	}
	return exitStatusOf(err)
}

func exitStatusOf(err error) int {
	var (
		usage    *usageError
		refused  *refusal
		adminErr *admin.Error
	)
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &refused):
		return ExitRefused
	case errors.As(err, &adminErr):
		switch adminErr.Reason {
		case admin.ReasonBadRequest:
			return ExitUsage
		case admin.ReasonNoLeader, admin.ReasonUnconfirmed:
			return ExitUnreachable
		}
		return ExitRefused
	case errors.Is(err, admin.ErrTimeout), errors.Is(err, context.DeadlineExceeded):
		return ExitTimeout
	}
	return ExitUnreachable
}
