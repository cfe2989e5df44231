package opctl

import "context"

type dumpCommand struct {
	Sections []string `arg:"positional" placeholder:"SECTION" help:"sections to show; without them, all"`
}

func (*dumpCommand) command() {}

func (c *dumpCommand) run(ctx context.Context, s *session) (outcome, error) {
	client, err := s.adminClient()
	if err != nil {
		return outcome{}, err
	}
	dump, err := client.Dump(ctx, c.Sections...)
	if err != nil {
		return outcome{}, err
	}
	return outcome{value: dump, text: func(p *printer) {
		p.line("state of %s at %s", printable(dump.Name), formatTime(dump.Time))
		for _, section := range dump.Sections {
			p.line("\n%s (%d)", printable(section.Name), len(section.Rows))
			p.table(append([][]string{section.Columns}, section.Rows...))
			if section.Truncated {
				p.line("further rows are left out")
			}
		}
	}}, nil
}
