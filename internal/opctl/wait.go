package opctl

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

// pollInterval separates two requests when the daemon responds early or has no leader.
const pollInterval = 250 * time.Millisecond

type waitCommand struct {
	Revision uint64        `arg:"positional" placeholder:"N" help:"revision to wait for; without it, the newest accepted one"`
	File     string        `arg:"--file" placeholder:"FILE" help:"wait for the revision of this rules file and compare its text with the accepted one"`
	For      time.Duration `arg:"--for" default:"30s" placeholder:"DURATION" help:"longest time to wait"`
}

func (*waitCommand) command() {}

func (c *waitCommand) run(ctx context.Context, s *session) (outcome, error) {
	client, err := s.adminClient()
	if err != nil {
		return outcome{}, err
	}
	hash := ""
	if c.File != "" {
		set, text, err := s.parseRules(c.File)
		if err != nil {
			return outcome{}, err
		}
		if c.Revision != 0 && c.Revision != set.Revision {
			return outcome{}, &usageError{fmt.Errorf("%s has revision %d, not %d", c.File, set.Revision, c.Revision)}
		}
		sum := sha256.Sum256(text)
		c.Revision, hash = set.Revision, "sha256:"+hex.EncodeToString(sum[:])
	}
	deadline := s.Clock.Now().Add(c.For)
	responded := false
	for {
		remaining := deadline.Sub(s.Clock.Now())
		report, err := client.InForce(ctx, c.Revision, max(0, remaining))
		switch {
		case err == nil:
			responded = true
			if result, done := c.evaluate(report, hash); done {
				return result, nil
			}
		case !isTransient(err, responded):
			return outcome{}, err
		}
		if remaining <= 0 {
			return c.timedOut(report, err)
		}
		timer := s.Clock.NewTimer(min(pollInterval, remaining))
		select {
		case <-timer.C():
		case <-ctx.Done():
			return outcome{}, fmt.Errorf("wait: %w", ctx.Err())
		}
	}
}

// isTransient reports whether an error may disappear during the wait: there is no leader during an election, and
// a daemon that has responded before may be restarting.
func isTransient(err error, responded bool) bool {
	var adminErr *admin.Error
	if errors.As(err, &adminErr) {
		return adminErr.Reason == admin.ReasonNoLeader
	}
	return responded && (errors.Is(err, admin.ErrTimeout) || errors.Is(err, admin.ErrUnreachable))
}

// evaluate returns the result of a report and whether it is final.
func (c *waitCommand) evaluate(report *admin.InForce, hash string) (outcome, bool) {
	result := outcome{value: report, text: func(p *printer) { printInForce(p, report) }}
	switch {
	case report.Accepted && hash != "" && report.Hash != hash:
		result.status = ExitRefused
		result.text = func(p *printer) {
			printInForce(p, report)
			p.line("the accepted text is not that of %s; compare them with buckthornctl diff", c.File)
		}
		return result, true
	case report.InForce:
		return result, true
	case !report.Accepted && slices.ContainsFunc(report.Refusals, func(r admin.ProposalRefusal) bool { return hash == "" || r.Hash == hash }):
		result.status = ExitRefused
		return result, true
	}
	return result, false
}

// timedOut returns the last report, or the last error, after the time limit.
func (c *waitCommand) timedOut(report *admin.InForce, err error) (outcome, error) {
	if err != nil {
		return outcome{}, err
	}
	result, _ := c.evaluate(report, "")
	result.status = ExitTimeout
	return result, nil
}

func printInForce(p *printer, report *admin.InForce) {
	switch {
	case report.Accepted:
		p.line("revision %d by %s is in force on %d of %d daemons", report.Revision, printable(report.Author), report.Daemons-report.Behind, report.Daemons)
	default:
		p.line("revision %d is not accepted; the newest is %d", report.Revision, report.Newest)
	}
	for _, refused := range report.Refusals {
		p.line("refused: a proposal by %s at %s: %s", printable(refused.Author), formatTime(refused.Time), printable(refused.Cause))
	}
	if !report.Accepted || report.Behind == 0 {
		return
	}
	rows := [][]string{{"behind", "availability-zone", "revision", "last beat"}}
	for _, daemon := range report.List {
		if daemon.Revision < report.Revision {
			rows = append(rows, []string{daemon.Name, daemon.Zone, strconv.FormatUint(daemon.Revision, 10), formatTime(daemon.LastHeartbeat)})
		}
	}
	p.table(rows)
}
