package ctrl

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

type (
	// Draft is a revision that is submitted through an API.
	Draft struct {
		Number uint64
		// Base is the revision that the draft changes: the one in effect, or zero before the first.
		Base   uint64
		Text   []byte
		Author string
	}

	// SubmitResult is SubmitAccepted, SubmitRefused, SubmitNotLeader or SubmitUnconfirmed.
	SubmitResult interface{ submitResult() }

	// SubmitAccepted means that the draft is accepted, now or by an earlier submission of the same text.
	SubmitAccepted struct{ Number uint64 }

	// SubmitRefused means that the draft is not accepted; Detail is the reason.
	SubmitRefused struct {
		Invalid bool // the text is invalid; otherwise it conflicts with another revision
		InForce uint64
		Detail  string
	}

	// SubmitNotLeader means that this member does not lead; Leader is the peer address of the leader.
	SubmitNotLeader struct{ Leader string }

	// SubmitUnconfirmed means that it is unknown whether the draft is accepted.
	SubmitUnconfirmed struct{}

	// ReadResult is ReadText, ReadNotLeader or ReadUnconfirmed.
	ReadResult interface{ readResult() }

	// ReadText is the accepted revision; the text is empty before the first.
	ReadText struct {
		Number uint64
		Text   []byte
	}

	// ReadNotLeader means that this member does not lead; Leader is the peer address of the leader.
	ReadNotLeader struct{ Leader string }

	// ReadUnconfirmed means that this member cannot confirm which revision is the newest.
	ReadUnconfirmed struct{}
)

func (SubmitAccepted) submitResult()    {}
func (SubmitRefused) submitResult()     {}
func (SubmitNotLeader) submitResult()   {}
func (SubmitUnconfirmed) submitResult() {}

func (ReadText) readResult()        {}
func (ReadNotLeader) readResult()   {}
func (ReadUnconfirmed) readResult() {}

// Submit proposes a draft to the consensus group.
func (l *Loop) Submit(ctx context.Context, draft Draft) SubmitResult {
	reply := make(chan SubmitResult, 1)
	result, err := await(ctx, l, draftSubmitted{draft: draft, reply: reply}, reply)
	if err != nil {
		return SubmitUnconfirmed{}
	}
	return result
}

// Read returns the accepted revision if this member leads and the consensus group confirms it.
func (l *Loop) Read(ctx context.Context) ReadResult {
	reply := make(chan ReadResult, 1)
	result, err := await(ctx, l, configReadRequested{reply: reply}, reply)
	if err != nil {
		return ReadUnconfirmed{}
	}
	return result
}

// leading reports whether this member may propose commands. If not, it returns the peer address of the leader,
// empty if unknown.
func (l *Loop) leading(now time.Time) (leader string, ok bool) {
	if l.voter.leader != nil && l.voter.node.LeaseHeld(now) {
		return "", true
	}
	if name := l.voter.node.Status().Leader; name != l.voter.name {
		return l.voter.address(name), false
	}
	return "", false
}

// submitDraft checks a draft, as proposeConfig checks a rules file, and proposes it.
func (l *Loop) submitDraft(now time.Time, event draftSubmitted) {
	leader, leading := l.leading(now)
	switch {
	case !leading && leader != "":
		event.reply <- SubmitNotLeader{Leader: leader}
		return
	case !leading:
		event.reply <- SubmitUnconfirmed{}
		return
	}
	draft := event.draft
	if err := l.validateRules(draft.Text); err != nil {
		l.logDraft(draft, "invalid", err.Error())
		event.reply <- SubmitRefused{Invalid: true, InForce: l.voter.revision(), Detail: err.Error()}
		return
	}
	hash := sha256.Sum256(draft.Text)
	command := &state.ProposeConfig{
		Number: draft.Number, Text: draft.Text, Author: rules.ShortName(draft.Author, state.MaxAuthor), Origin: l.cfg.PeerAddress,
		Hash: hash[:], At: l.voter.machine.CommandTime(now), Based: true, Base: draft.Base,
	}
	l.replaceByDifference(command, draft.Base)
	l.propose(now, command, draftProposer{reply: event.reply, draft: draft})
}

func (l *Loop) replyToDraft(origin draftProposer, result state.Result) {
	switch result := result.(type) {
	case *state.ConfigAccepted:
		l.logDraft(origin.draft, "accepted", "")
		origin.reply <- SubmitAccepted{Number: result.Revision.Number}
	case *state.ConfigRefused:
		detail := refusalText(result)
		l.logDraft(origin.draft, "refused", detail)
		origin.reply <- SubmitRefused{InForce: result.InForce, Detail: detail}
	default:
		origin.reply <- SubmitUnconfirmed{}
	}
}

func (l *Loop) logDraft(draft Draft, verdict, detail string) {
	l.log.Info().Uint64("revision", draft.Number).Uint64("base", draft.Base).Str("author", draft.Author).
		Uint64("in-force", l.voter.revision()).Str("verdict", verdict).Str("detail", detail).Msg("config-decided")
}

// readConfig commits an entry before it replies: another leader may have accepted a newer revision while this
// machine was suspended.
func (l *Loop) readConfig(now time.Time, event configReadRequested) {
	leader, leading := l.leading(now)
	switch {
	case !leading && leader != "":
		event.reply <- ReadNotLeader{Leader: leader}
	case !leading:
		event.reply <- ReadUnconfirmed{}
	default:
		l.propose(now, &state.Tick{At: l.voter.machine.CommandTime(now)}, readProposer(event))
	}
}

func (l *Loop) replyToRead(origin readProposer) {
	current := l.voter.machine.CurrentRevision()
	if current == nil {
		origin.reply <- ReadText{}
		return
	}
	origin.reply <- ReadText{Number: current.Number, Text: current.Text}
}
