package super

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
)

const (
	// A group delays restarts by failureBackoff while its count of failures exceeds failureThreshold. The count
	// halves every failureDecay.
	failureThreshold = 8
	failureDecay     = 30 * time.Second
	failureBackoff   = 500 * time.Millisecond

	stopTimeout = 24 * time.Hour // a drain ends by itself; a second signal ends the process
)

// ErrFatal stops the whole tree when a child returns it.
var ErrFatal = suture.ErrTerminateSupervisorTree

type (
	// Child is a supervised task that runs until its context ends.
	Child struct {
		// Name identifies the child in log events.
		Name string
		// Run returns nil when the child has finished its work, or an error to be restarted.
		Run func(ctx context.Context) error
	}

	// Group runs children under one supervisor and stops them in the order listed.
	Group struct {
		Name     string
		Log      zerolog.Logger
		Children []Child
	}

	// childService adapts a Child to suture.
	childService struct {
		child Child
		log   zerolog.Logger
	}
)

// Serve runs the group until ctx ends or a child returns ErrFatal.
func (g *Group) Serve(ctx context.Context) error {
	treeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	supervisor := suture.New(g.Name, suture.Spec{
		EventHook:                g.logEvent,
		FailureThreshold:         failureThreshold,
		FailureDecay:             failureDecay.Seconds(),
		FailureBackoff:           failureBackoff,
		Timeout:                  stopTimeout,
		DontPropagateTermination: false,
	})
	tokens := make([]suture.ServiceToken, 0, len(g.Children))
	for _, child := range g.Children {
		tokens = append(tokens, supervisor.Add(&childService{child: child, log: g.Log}))
	}
	done := supervisor.ServeBackground(treeCtx)
	select {
	case err := <-done:
		return fmt.Errorf("%s: %w", g.Name, err)
	case <-ctx.Done():
	}
	for _, token := range tokens {
		if err := supervisor.RemoveAndWait(token, stopTimeout); err != nil && !errors.Is(err, suture.ErrSupervisorNotRunning) {
			g.Log.Warn().Str("group", g.Name).Err(err).Msg("child-stop-failed")
		}
	}
	cancel()
	<-done
	return ctx.Err()
}

// AsChild returns the group as a child of another group.
func (g *Group) AsChild() Child { return Child{Name: g.Name, Run: g.Serve} }

func (g *Group) logEvent(event suture.Event) {
	if event.Type() == suture.EventTypeStopTimeout || event.Type() == suture.EventTypeResume {
		return
	}
	g.Log.Error().Str("group", g.Name).Str("event", event.String()).Msg("supervisor-event")
}

// Serve runs the child; a child that returns nil is not restarted.
func (s *childService) Serve(ctx context.Context) error {
	err := s.child.Run(ctx)
	switch {
	case err == nil:
		return suture.ErrDoNotRestart
	case ctx.Err() != nil:
		return ctx.Err()
	}
	s.log.Error().Str("child", s.child.Name).Err(err).Msg("child-failed")
	return err
}

// String returns the name of the child for the supervisor's events.
func (s *childService) String() string { return s.child.Name }
