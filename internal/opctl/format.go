package opctl

import (
	"bytes"

	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

type (
	formatCommand struct {
		File  string `arg:"positional,required" placeholder:"FILE" help:"rules file, - for the standard input"`
		Check bool   `arg:"--check" help:"print nothing and exit with 1 when the file is not in its canonical form"`
	}

	formatReport struct {
		File      string `json:"file"`
		Canonical bool   `json:"canonical"` // whether the file is in canonical form
		Text      string `json:"text,omitempty"`
	}
)

func (*formatCommand) command() {}

func (c *formatCommand) run(s *session) (outcome, error) {
	text, err := s.readInput(c.File)
	if err != nil {
		return outcome{}, err
	}
	formatted, err := rules.Format(c.File, text)
	if err != nil {
		return outcome{}, &usageError{err}
	}
	report := formatReport{File: c.File, Canonical: bytes.Equal(text, formatted)}
	result := outcome{text: func(*printer) {}}
	switch {
	case !c.Check:
		report.Text = string(formatted)
		result.text = func(p *printer) { p.write(report.Text) }
	case !report.Canonical:
		result.status = ExitRefused
	}
	result.value = report
	return result, nil
}
