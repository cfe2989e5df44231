package opctl

import (
	"context"
	"fmt"
	"strconv"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

type historyCommand struct {
	Revision uint64 `arg:"positional" placeholder:"N" help:"show the text of this revision"`
	Limit    int    `arg:"--limit" default:"20" placeholder:"COUNT" help:"most revisions to list, newest first"`
}

func (*historyCommand) command() {}

func (c *historyCommand) run(ctx context.Context, s *session) (outcome, error) {
	client, err := s.adminClient()
	if err != nil {
		return outcome{}, err
	}
	if c.Limit < 1 || c.Limit > admin.MaxHistory {
		return outcome{}, &usageError{fmt.Errorf("--limit is %d, the bounds are 1 to %d", c.Limit, admin.MaxHistory)}
	}
	if c.Revision > 0 {
		revision, err := client.Revision(ctx, c.Revision)
		if err != nil {
			return outcome{}, err
		}
		return outcome{value: revision, text: func(p *printer) { p.write(revision.Text) }}, nil
	}
	history, err := client.History(ctx, c.Limit)
	if err != nil {
		return outcome{}, err
	}
	return outcome{value: history, text: func(p *printer) {
		rows := [][]string{{"revision", "time", "author", "reason"}}
		for _, revision := range history.Revisions {
			rows = append(rows, []string{strconv.FormatUint(revision.Number, 10), formatTime(revision.Time), revision.Author, revision.Reason})
		}
		p.table(rows)
		if history.More {
			p.line("older revisions are not listed; use --limit")
		}
	}}, nil
}
