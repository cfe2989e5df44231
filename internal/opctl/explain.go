package opctl

import (
	"context"
	"strconv"
)

type explainCommand struct {
	Rule     string `arg:"positional,required" placeholder:"RULE" help:"identity of a rule as Buckthorn-Rule shows it, for example route/GET/works/{id}@7"`
	Revision uint64 `arg:"--revision" placeholder:"N" help:"accepted revision to look in; without it, the one in force"`
}

func (*explainCommand) command() {}

func (c *explainCommand) run(ctx context.Context, s *session) (outcome, error) {
	client, err := s.adminClient()
	if err != nil {
		return outcome{}, err
	}
	explain, err := client.Explain(ctx, c.Rule, c.Revision)
	if err != nil {
		return outcome{}, err
	}
	return outcome{value: explain, text: func(p *printer) {
		p.table([][]string{
			{"rule", explain.Rule},
			{"revision", strconv.FormatUint(explain.Revision, 10)},
			{"line", strconv.Itoa(explain.Line)},
			{"requested by", explain.Requester},
			{"reason", explain.Reason},
			{"text", explain.Text},
		})
	}}, nil
}
