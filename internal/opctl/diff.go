package opctl

import (
	"context"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

type diffCommand struct {
	File     string `arg:"positional,required" placeholder:"FILE" help:"rules file, - for the standard input"`
	Other    string `arg:"positional" placeholder:"NEWER" help:"newer rules file; without it, FILE is compared with the rules in force"`
	Revision uint64 `arg:"--revision" placeholder:"N" help:"compare FILE with this accepted revision instead of the one in force"`
}

func (*diffCommand) command() {}

func (c *diffCommand) run(ctx context.Context, s *session) (outcome, error) {
	fileRules, _, err := s.parseRules(c.File)
	if err != nil {
		return outcome{}, err
	}
	var diff rules.Diff
	if c.Other != "" {
		newerRules, _, err := s.parseRules(c.Other)
		if err != nil {
			return outcome{}, err
		}
		diff = rules.Compare(fileRules, newerRules)
	} else {
		accepted, err := c.acceptedRules(ctx, s)
		if err != nil {
			return outcome{}, err
		}
		diff = rules.Compare(accepted, fileRules)
	}
	result := outcome{value: diff, text: func(p *printer) { printDiff(p, diff) }}
	if !diff.Empty() {
		result.status = ExitRefused
	}
	return result, nil
}

func (c *diffCommand) acceptedRules(ctx context.Context, s *session) (*rules.Set, error) {
	client, err := s.adminClient()
	if err != nil {
		return nil, err
	}
	var revision *admin.Revision
	if c.Revision > 0 {
		revision, err = client.Revision(ctx, c.Revision)
	} else {
		revision, err = client.Rules(ctx)
	}
	if err != nil {
		return nil, err
	}
	return parseRevision(revision)
}

func printDiff(p *printer, diff rules.Diff) {
	if diff.Empty() {
		p.line("revisions %d and %d have the same rules", diff.From, diff.To)
		return
	}
	p.line("revision %d to %d: %d added, %d changed, %d removed", diff.From, diff.To, len(diff.Added), len(diff.Changed), len(diff.Removed))
	for _, change := range diff.Removed {
		p.colouredLine(colourRed, "- "+change.OldText)
	}
	for _, change := range diff.Changed {
		p.colouredLine(colourYellow, "< "+change.OldText)
		p.colouredLine(colourYellow, "> "+change.NewText)
	}
	for _, change := range diff.Added {
		p.colouredLine(colourGreen, "+ "+change.NewText)
	}
}
