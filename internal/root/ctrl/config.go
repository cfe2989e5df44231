package ctrl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/limit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/watch"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	verdictSuffix = ".verdict"

	// proposalRetryInterval is the time after which a proposal without a verdict is retried.
	proposalRetryInterval = 5 * time.Second
)

// pendingProposal is a rules text that waits for the leader's verdict. It is retried until the verdict
// arrives, because an overloaded leader may have dropped it.
type pendingProposal struct {
	message *Propose
	path    string
	retryAt time.Time
}

// acceptCheckedText accepts every text, because the leader checks a text before it proposes it.
func acceptCheckedText([]byte) error { return nil }

// parsedRules caches the rules text that was parsed last. On the instance of the leader, the proposal, the
// leader's check, the owner of the token buckets and the daemon all parse the text of the same change.
type parsedRules struct {
	hash [sha256.Size]byte
	set  *rules.Set // nil until a text was parsed
}

// parseRules parses a rules text, or returns the cached set if it is the same text as in the last call.
func (l *Loop) parseRules(name string, text []byte) (*rules.Set, error) {
	hash := sha256.Sum256(text)
	if l.parsed.set != nil && l.parsed.hash == hash {
		return l.parsed.set, nil
	}
	set, err := l.cfg.Parse(name, text)
	if err != nil {
		// The error is shown to operators unchanged.
		return nil, err
	}
	l.parsed = parsedRules{hash: hash, set: set}
	return set, nil
}

// validateRules checks a rules text before the leader proposes it. The command of a difference does not show the size of
// the text.
func (l *Loop) validateRules(text []byte) error {
	if len(text) > state.MaxText {
		return fmt.Errorf("the configuration has %d bytes as it is stored, the limit is %d", len(text), state.MaxText)
	}
	_, err := l.parseRules("rules", text)
	return err
}

func (l *Loop) runWatcher(ctx context.Context) error {
	watcher := &watch.Watcher{
		Path: l.cfg.RulesFile, MaxSize: state.MaxText, Clock: l.clock,
		Report: func(file watch.File) { l.post(ctx, rulesFileRead{file: file}) },
	}
	return watcher.Run(ctx)
}

// proposeRulesFile checks a changed rules file and sends it to the leader.
func (l *Loop) proposeRulesFile(now time.Time, event rulesFileRead) {
	file := event.file
	if file.Err != nil {
		l.rejectRulesFile(file.Path, file.Err)
		return
	}
	set, err := l.parseRules(file.Path, file.Text)
	if err != nil {
		l.rejectRulesFile(file.Path, err)
		return
	}
	hash := sha256.Sum256(file.Text)
	l.daemon.proposal = &pendingProposal{
		path:    file.Path,
		message: &Propose{Number: set.Revision, Text: file.Text, Author: set.Author, Hash: hash[:]},
	}
	l.log.Info().Uint64("revision", set.Revision).Str("author", set.Author).Msg("rules-proposed")
	l.sendProposal(now)
}

// sendProposal sends the pending proposal, if there is one, and sets its retry time.
func (l *Loop) sendProposal(now time.Time) {
	if pending := l.daemon.proposal; pending != nil {
		pending.retryAt = now.Add(proposalRetryInterval)
		l.sendToLeader(pending.message)
	}
}

func (l *Loop) rejectRulesFile(path string, err error) {
	l.daemon.proposal = nil
	l.log.Error().Str("file", path).Err(err).Msg("rules-file-rejected")
	l.writeVerdict(path, "rejected: the revision in force stays in force\n"+err.Error()+"\n")
}

func (l *Loop) handleProposeReply(reply *ProposeReply) {
	pending := l.daemon.proposal
	if pending == nil || pending.message.Number != reply.Number || !bytes.Equal(pending.message.Hash, reply.Hash) {
		return
	}
	verdict, err := state.DecodeVerdict(reply.Verdict)
	if err != nil {
		l.log.Error().Err(err).Msg("proposal-verdict-unreadable")
		return
	}
	l.daemon.proposal = nil
	text := verdictText(verdict)
	l.log.Info().Uint64("revision", reply.Number).Str("verdict", text).Msg("rules-verdict")
	l.writeVerdict(pending.path, text+"\n")
}

// verdictText describes the outcome of a proposal to operators.
func verdictText(verdict state.Result) string {
	switch verdict := verdict.(type) {
	case *state.ConfigAccepted:
		return fmt.Sprintf("accepted: revision %d by %s since %s",
			verdict.Revision.Number, verdict.Revision.Author, verdict.Revision.Since.Time().Format(time.RFC3339))
	case *state.ConfigRefused:
		return refusalText(verdict)
	}
	return "no verdict"
}

func refusalText(refused *state.ConfigRefused) string {
	winner := ""
	if refused.Winner != nil {
		winner = fmt.Sprintf("; revision %d was accepted from %s (%s) at %s", refused.Winner.Number,
			refused.Winner.Author, refused.Winner.Origin, refused.Winner.Since.Time().Format(time.RFC3339))
	}
	fix := fmt.Sprintf("; to change the rules, edit the file from revision %d and number it %d", refused.InForce, refused.InForce+1)
	switch refused.Reason {
	case state.NumberTaken:
		return fmt.Sprintf("refused: revision %d was accepted with another text%s%s", refused.Number, winner, fix)
	case state.NumberTooHigh:
		return fmt.Sprintf("refused: revision %d is not the next after %d%s", refused.Number, refused.InForce, fix)
	case state.BaseChanged:
		return fmt.Sprintf("refused: revision %d builds on another revision than %d%s", refused.Number, refused.InForce, winner)
	case state.NumberForgotten:
		return fmt.Sprintf("refused: revision %d is older than the recorded history%s", refused.Number, fix)
	}
	return "refused: " + refused.Detail
}

// writeVerdict writes the verdict to a file next to the rules file; the rules file itself is never changed.
func (l *Loop) writeVerdict(path, text string) {
	// The loop writes the file itself: it is small and local, and operators wait for it.
	if err := os.WriteFile(path+verdictSuffix, []byte(text), 0o644); err != nil {
		l.log.Warn().Err(err).Msg("verdict-not-written")
	}
}

// applyConfig applies a newer revision and ignores an older or equal one.
func (l *Loop) applyConfig(now time.Time, config *Config) {
	current := &l.daemon.rules
	if config.Number <= current.revision() {
		return
	}
	text := config.Text
	if config.Base != 0 {
		var err error
		if config.Base != current.revision() {
			err = fmt.Errorf("%w: it needs revision %d", state.ErrPatch, config.Base)
		} else {
			text, err = state.Patch(current.text, config.Hunks, config.Hash)
		}
		if err != nil {
			l.log.Warn().Uint64("revision", config.Number).Err(err).Msg("config-difference-refused")
			l.requestFullConfig()
			return
		}
	}
	set, err := l.parseRules("rules", text)
	if err != nil {
		l.log.Error().Uint64("revision", config.Number).Err(err).Msg("config-unreadable")
		return
	}
	hash := sha256.Sum256(text)
	regions := current.regions()
	*current = activeRules{set: set, text: text, hash: hash[:]}
	if !slices.Equal(regions, current.regions()) {
		l.sendSubscriptions() // the views have to hold instances of these regions
	}
	l.dirty = true
	l.stepHolder(now, &limit.SetLimits{Limits: limitsOf(set)})
	l.tokenPools.Store(&l.daemon.tokenHolder.Pools)
	l.log.Info().Uint64("revision", set.Revision).Str("author", set.Author).Msg("config-in-force")
	// The heartbeat reports the new revision to the leader, whose reply renews the lease under it.
	l.sendHeartbeat(now)
}

// requestFullConfig closes the control stream; the leader sends the whole text on the next one.
func (l *Loop) requestFullConfig() {
	l.daemon.rules.hash = nil
	if l.daemon.session != nil {
		l.daemon.session.close()
	}
}

// tokenAccount returns the name of a client account in the messages about its tokens.
func tokenAccount(name string) string { return rules.ShortName(name, limit.MaxAccount) }

// limitsOf returns the rate limits of all client accounts.
func limitsOf(set *rules.Set) []limit.Limit {
	limits := make([]limit.Limit, 0, len(set.Accounts))
	for name, account := range set.Accounts {
		if account.Rate.Count <= 0 {
			continue // the account has no limit
		}
		limits = append(limits, limit.Limit{
			Account: tokenAccount(name),
			Rate:    uint32(min(account.Rate.Count, limit.MaxRate)),
			Per:     account.Rate.Per,
			Burst:   uint32(min(max(account.Burst, 1), limit.MaxRate)),
		})
	}
	return limits
}
