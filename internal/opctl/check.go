package opctl

import (
	"context"
	"errors"
	"fmt"

	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

type (
	checkCommand struct {
		File string `arg:"positional,required" placeholder:"FILE" help:"rules file, - for the standard input"`
		Next bool   `arg:"--next" help:"also ask the daemon whether the revision is the next one"`
	}

	checkReport struct {
		File     string         `json:"file"`
		Valid    bool           `json:"valid"`
		Revision uint64         `json:"revision,omitempty"`
		Services int            `json:"services"`
		Accounts int            `json:"accounts"`
		Keys     int            `json:"keys"`
		Routes   int            `json:"routes"`
		Problems rules.Problems `json:"problems"`
	}
)

func (*checkCommand) command() {}

func (c *checkCommand) run(ctx context.Context, s *session) (outcome, error) {
	text, err := s.readInput(c.File)
	if err != nil {
		return outcome{}, err
	}
	report := checkReport{File: c.File, Problems: rules.Problems{}}
	set, err := rules.Parse(c.File, text)
	if err != nil && !errors.As(err, &report.Problems) {
		return outcome{}, err
	}
	if set != nil {
		report.Revision = set.Revision
		report.Services, report.Accounts = len(set.Services), len(set.Accounts)
		report.Keys, report.Routes = len(set.Keys), len(set.Routes)
		if c.Next {
			if err := c.checkNext(ctx, s, &report, set); err != nil {
				return outcome{}, err
			}
		}
	}
	if report.Valid = len(report.Problems) == 0; !report.Valid {
		return outcome{value: report, status: ExitRefused, text: func(*printer) {
			stderr := printer{out: s.Stderr}
			for _, problem := range report.Problems {
				stderr.line("%s", problem.Error())
			}
		}}, nil
	}
	return outcome{value: report, text: func(p *printer) {
		p.line("%s: revision %d is valid: %d services, %d accounts, %d keys, %d routes",
			c.File, report.Revision, report.Services, report.Accounts, report.Keys, report.Routes)
	}}, nil
}

// checkNext adds a problem when the daemon would refuse the revision number.
func (c *checkCommand) checkNext(ctx context.Context, s *session, report *checkReport, set *rules.Set) error {
	client, err := s.adminClient()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if next := status.Revision + 1; set.Revision != next {
		report.Problems = append(report.Problems, rules.Problem{
			File: c.File, Line: rules.RuleOf(set.Statements()[0]).Line, Column: 1,
			Message: fmt.Sprintf("revision %d is in force, so that %d is not the next one", status.Revision, set.Revision),
			Fix:     fmt.Sprintf("compare with the rules in force and write revision %d", next),
		})
	}
	return nil
}
