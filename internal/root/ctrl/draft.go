package ctrl

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
)

type (
	// Draft is a revision that an operator submits over an interface.
	Draft struct {
		Number uint64
		// Base is the revision on which the draft builds; it has to be in force, zero before the first.
		Base   uint64
		Text   []byte
		Author string
	}

	// SubmitResult is SubmitAccepted, SubmitRefused, SubmitElsewhere or SubmitUnconfirmed.
	SubmitResult interface{ submitResult() }

	// SubmitAccepted says that the draft is accepted, now or by an earlier submission of the same text.
	SubmitAccepted struct{ Number uint64 }

	// SubmitRefused says that the draft is not accepted and why.
	SubmitRefused struct {
		Invalid bool // the text itself is at fault, not its place among other changes
		InForce uint64
		Detail  string
	}

	// SubmitElsewhere names the peer address of the leader.
	SubmitElsewhere struct{ Leader string }

	// SubmitUnconfirmed says that the draft may be accepted or not.
	SubmitUnconfirmed struct{}

	// ReadResult is ReadText, ReadElsewhere or ReadUnconfirmed.
	ReadResult interface{ readResult() }

	// ReadText is the accepted revision; the text is empty before the first.
	ReadText struct {
		Number uint64
		Text   []byte
	}

	// ReadElsewhere names the peer address of the leader.
	ReadElsewhere struct{ Leader string }

	// ReadUnconfirmed says that this member cannot tell which revision is the newest.
	ReadUnconfirmed struct{}
)

func (SubmitAccepted) submitResult()    {}
func (SubmitRefused) submitResult()     {}
func (SubmitElsewhere) submitResult()   {}
func (SubmitUnconfirmed) submitResult() {}

func (ReadText) readResult()        {}
func (ReadElsewhere) readResult()   {}
func (ReadUnconfirmed) readResult() {}

// Submit asks the group to accept a draft.
func (l *Loop) Submit(ctx context.Context, draft Draft) SubmitResult {
	reply := make(chan SubmitResult, 1)
	result, err := await(ctx, l, draftSubmitted{draft: draft, reply: reply}, reply)
	if err != nil {
		return SubmitUnconfirmed{}
	}
	return result
}

// Read returns the accepted revision if this member leads and the group confirms it.
func (l *Loop) Read(ctx context.Context) ReadResult {
	reply := make(chan ReadResult, 1)
	result, err := await(ctx, l, configRead{reply: reply}, reply)
	if err != nil {
		return ReadUnconfirmed{}
	}
	return result
}

// leading reports whether this member may propose, and else the peer address of the leader.
func (l *Loop) leading(now time.Time) (leader string, ok bool) {
	if l.voter.lead != nil && l.voter.node.LeaseHeld(now) {
		return "", true
	}
	if name := l.voter.node.Status().Leader; name != l.voter.name {
		return l.voter.address(name), false
	}
	return "", false
}

// submitDraft checks a draft as proposeConfig does with a rules file.
func (l *Loop) submitDraft(now time.Time, event draftSubmitted) {
	leader, leading := l.leading(now)
	switch {
	case !leading && leader != "":
		event.reply <- SubmitElsewhere{Leader: leader}
		return
	case !leading:
		event.reply <- SubmitUnconfirmed{}
		return
	}
	draft := event.draft
	if err := l.validate(draft.Text); err != nil {
		l.logDraft(draft, "invalid", err.Error())
		event.reply <- SubmitRefused{Invalid: true, InForce: l.voter.revision(), Detail: err.Error()}
		return
	}
	hash := sha256.Sum256(draft.Text)
	command := &state.ProposeConfig{
		Number: draft.Number, Text: draft.Text, Author: draft.Author, Origin: l.cfg.PeerAddress,
		Hash: hash[:], At: l.voter.machine.CommandTime(now), Based: true, Base: draft.Base,
	}
	l.shorten(command, draft.Base)
	l.propose(now, command, draftProposal{reply: event.reply, draft: draft})
}

func (l *Loop) answerDraft(waiting draftProposal, result state.Result) {
	switch result := result.(type) {
	case *state.ConfigAccepted:
		l.logDraft(waiting.draft, "accepted", "")
		waiting.reply <- SubmitAccepted{Number: result.Revision.Number}
	case *state.ConfigRefused:
		detail := refusalText(result)
		l.logDraft(waiting.draft, "refused", detail)
		waiting.reply <- SubmitRefused{InForce: result.InForce, Detail: detail}
	default:
		waiting.reply <- SubmitUnconfirmed{}
	}
}

func (l *Loop) logDraft(draft Draft, verdict, detail string) {
	l.log.Info().Uint64("revision", draft.Number).Uint64("base", draft.Base).Str("author", draft.Author).
		Uint64("in-force", l.voter.revision()).Str("verdict", verdict).Str("detail", detail).Msg("config-decided")
}

// readConfig commits an entry before it answers: another leader may have accepted a newer revision while
// this machine was suspended.
func (l *Loop) readConfig(now time.Time, event configRead) {
	leader, leading := l.leading(now)
	switch {
	case !leading && leader != "":
		event.reply <- ReadElsewhere{Leader: leader}
	case !leading:
		event.reply <- ReadUnconfirmed{}
	default:
		l.propose(now, &state.Tick{At: l.voter.machine.CommandTime(now)}, readProposal(event))
	}
}

func (l *Loop) answerRead(waiting readProposal) {
	current := l.voter.machine.CurrentRevision()
	if current == nil {
		waiting.reply <- ReadText{}
		return
	}
	waiting.reply <- ReadText{Number: current.Number, Text: current.Text}
}
