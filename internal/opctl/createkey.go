package opctl

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io"

	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	keyPrefix = "bt_" // lets scanners for leaked secrets recognise a key
	keyBytes  = 32
)

type (
	createKeyCommand struct {
		Account   string `arg:"positional,required" placeholder:"ACCOUNT" help:"name of the client account"`
		Requester string `arg:"--requester,required" placeholder:"REQUESTER" help:"who requested the key"`
		Reason    string `arg:"--reason" placeholder:"WHY" help:"why it was requested"`
	}

	createKeyReport struct {
		Key  string `json:"key"`
		Line string `json:"line"` // for the rules file
	}
)

func (*createKeyCommand) command() {}

// run prints the key on the standard output and the line for the rules file on the standard error, so that the
// key can be piped into a secret store. The key itself is not stored.
func (c *createKeyCommand) run(s *session) (outcome, error) {
	var random [keyBytes]byte
	if _, err := io.ReadFull(s.Random, random[:]); err != nil {
		return outcome{}, &usageError{fmt.Errorf("read random bytes: %w", err)}
	}
	report := createKeyReport{Key: keyPrefix + base64.RawURLEncoding.EncodeToString(random[:])}
	hash := rules.HashKey(report.Key)
	report.Line = rules.CanonicalLine(&rules.Key{
		Rule:    rules.Rule{Kind: rules.KindKey, Name: rules.KeyName(c.Account, hash), Requester: c.Requester, Reason: c.Reason},
		Account: c.Account, Hash: hash, State: rules.KeyActive,
	})
	if err := checkKeyLine(c.Account, report.Line); err != nil {
		return outcome{}, &usageError{err}
	}
	return outcome{value: report, text: func(p *printer) {
		p.line("%s", report.Key)
		stderr := printer{out: s.Stderr}
		stderr.line("%s", report.Line)
	}}, nil
}

// checkKeyLine returns an error when a rules file would not accept the account, requester or reason.
func checkKeyLine(account, line string) error {
	text := fmt.Sprintf("revision 1 # requested by buckthornctl\naccount %s rate=1/s burst=1 # requested by buckthornctl\n%s\n", account, line)
	_, err := rules.Parse("key", []byte(text))
	var problems rules.Problems
	if errors.As(err, &problems) {
		return fmt.Errorf("the rules file would refuse the key: %s; fix: %s", problems[0].Message, problems[0].Fix)
	}
	return err
}
